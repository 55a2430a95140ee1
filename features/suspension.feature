Feature: The time for which an instance is suspended counts

  # The reactor's monotonic clock stops while an instance is suspended; the target's clock does not.
  Scenario: A connection that was idle while the instance was suspended is not used again
    Given a connection to a target that keeps idle connections for 5 s
    When a request on it gets a response and 1 s passes
    Then the connection is used again
    When a request on it gets a response and the instance is suspended for 6 s
    Then the connection is closed, and a new one is made for the next request
