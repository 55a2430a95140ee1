Feature: Keys given to targets, and taken back, by calls, in virtual time

  Background:
    Given targets that take their keys by calls

  Scenario: A fleet that starts serves every key within three seconds
    Given a fleet of 4 targets
    Then every key is served after 3 s

  Scenario: A daemon that is cut off from its peers stops granting before others take over
    Given a fleet of 4 targets that serves
    When the peers of daemon 2 are cut off
    Then every key is served by others after 6 s
    And no key ever had two holders

  Scenario: An instance that is lost for good gives its keys up within four seconds
    Given a fleet of 4 targets that serves
    When instance 2 is lost for good
    Then every key is served after 4.2 s

  Scenario: A store that is away moves nothing
    Given a fleet of 4 targets that serves
    When the store is away for 20 s
    Then every key was served all the time
    And no key changed its holder

  Scenario: All daemons are killed at once and their targets keep their keys
    Given a fleet of 4 targets that serves
    When all daemons are killed and start again after 1.4 s
    Then every key is served after 2 s
    And no key changed its holder

  Scenario: Everything loses power at once
    Given a fleet of 4 targets that serves
    When everything loses power and starts again after 1.4 s
    Then every key is served after 5.5 s
    And no key ever had two holders

  Scenario: A target that leaves hands its keys over while it still runs
    Given a fleet of 4 targets that serves
    When target 1 says that it leaves
    Then target 1 holds no key after 2 s
    And every key is served after 0.5 s

  Scenario: Keys that are asked for more than all others move, and rest for less than half a second
    Given a fleet of 4 targets that serves
    When neighbouring keys of target 0 are asked for 120 times a second for 3 s
    Then some of them are held by another target
    And no key rested for more than 0.5 s in all

  Scenario: Grants that go unanswered and are taken late do no harm
    Given a fleet of 4 targets that serves
    When the next 40 grants go unanswered and are taken up to 6 s late
    And neighbouring keys of target 0 are asked for 120 times a second for 3 s
    Then every key is served after 8 s
    And no key ever had two holders

  Scenario: After a restart of the daemon a late heartbeat of a former target does not stay
    Given a fleet of 4 targets that serves
    When target 1 is replaced, and its daemon restarted 6 s later under a late heartbeat of the former
    Then daemon 1 knows the living target after 3 s
    And no key ever had two holders
    And every key is served after 4 s

  Scenario: A target that has seen a higher fence is not offered one above it
    Given a fleet of 4 targets that serves
    When target 1 says that it has seen a higher fence for all its keys
    Then daemon 1 asks for a newer map and offers the same fences at most 3 times a second
