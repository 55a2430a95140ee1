Feature: Calls that grant keys reach the process whose heartbeat was received, at once or not at all

  # The call names only the target's id, which its next process may have as well: that process would
  # hold keys under the same fence as the former one.
  Scenario: A process that ended gets no grant, and the next one only after its heartbeat
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is received
    Then a grant is sent to its process
    When its process ends, unnoticed by the daemon, and the next one listens at its address
    Then a grant is not sent, and no connection to the next process carries one
    When a heartbeat of it is received
    Then a grant is sent to its process

  Scenario: A connection that a busy target resets does not make the process count as ended
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is received
    And 3 s later a heartbeat is received and the connection made for it is reset
    Then a grant is sent to its process

  # The target's hold runs from the arrival of the call. If a daemon is suspended for a second after
  # it has computed the end of the hold and before the call is sent, it lets others have the keys
  # while its target still holds them.
  Scenario: A grant is in the kernel's buffer when it counts as sent
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is received
    And its connection for calls is kept open
    Then a grant is sent to its process before the event loop runs again

  Scenario: A grant whose connection takes too long is not sent
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is received
    Then a grant whose connection is established 0.1 s later is not sent
    And the next one is sent on that connection
