Feature: Parked requests are checked again when their keys are granted

  # Guards against a daemon that blocks while it checks its parked requests. A daemon that has
  # restarted with all others may have 85 ranges to grant by calls. If each reply makes it check all
  # parked requests again, it is blocked for 1.2 s, and then reads requests whose callers have
  # disconnected meanwhile and forwards them.
  Scenario: Keys that are granted by many calls
    Given a daemon whose target is to be granted 85 ranges by calls, and 500 requests parked for them
    When the calls get their replies, one after the other
    Then each of the 500 requests was checked for admission once
    And no more than 16 calls were ever in flight
