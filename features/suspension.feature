Feature: An instance that is suspended for seconds counts them

  # The steady clock of the reactor stands still while an instance is suspended, the target's does not.
  Scenario: A connection that rested while the instance was suspended is not used again
    Given a connection to a target that keeps idle ones for 5 s
    When a request on it is answered and 1 s passes
    Then it is used again
    When a request on it is answered and the instance is suspended for 6 s
    Then it is closed, and a new one is made for the next request
