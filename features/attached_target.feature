Feature: Calls that give keys reach the process whose heartbeat was heard, at once or not at all

  # The call names the target's id, which its next process may have as well: that one would hold keys
  # under the fence under which the former one had them.
  Scenario: A process that ended gets no grant, and the next one only after its heartbeat
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is heard
    Then a grant is sent to its process
    When its process ends, unread by the daemon, and the next one stands at its address
    Then a grant is not sent, and no connection to the next process carries one
    When a heartbeat of it is heard
    Then a grant is sent to its process

  Scenario: A connection that a busy target resets does not hide the process
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is heard
    And 3 s later a heartbeat is heard and the connection of that moment is reset
    Then a grant is sent to its process

  # A hold runs from the call's arrival. A daemon that stood still for a second after it had reckoned
  # when the hold ends, before the call went out, let others have the keys while its target held them.
  Scenario: A grant is with the target's kernel when it counts as sent
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is heard
    And its connection for calls is kept
    Then a grant is sent to its process before the loop turns

  Scenario: A grant whose connection takes too long is not sent
    Given a target that takes its keys by calls, and its process
    When a heartbeat of it is heard
    Then a grant whose connection stands 0.1 s later is not sent
    And the next one is sent on that connection
