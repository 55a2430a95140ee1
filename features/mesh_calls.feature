Feature: Keys granted to targets, and released, by calls, in virtual time

  Background:
    Given targets that take their keys by calls

  Scenario: A fleet that starts serves every key within three seconds
    Given a fleet of 4 targets
    Then every key is served after 3 s

  Scenario: An isolated daemon stops granting before others take over
    Given a fleet of 4 targets that serves
    When daemon 2 is isolated from its peers
    Then every key is served by others after 6 s
    And no key ever had two holders

  Scenario: The keys of an instance that is lost permanently are served again within about four seconds
    Given a fleet of 4 targets that serves
    When instance 2 is lost permanently
    Then every key is served after 4.2 s

  Scenario: No keys move while the store is unavailable
    Given a fleet of 4 targets that serves
    When the store is unavailable for 20 s
    Then every key was served all the time
    And no key changed its holder

  Scenario: All daemons are killed at once and their targets keep their keys
    Given a fleet of 4 targets that serves
    When all daemons are killed and restart after 1.4 s
    Then every key is served after 2 s
    And no key changed its holder

  Scenario: All instances lose power at once
    Given a fleet of 4 targets that serves
    When all instances lose power and restart after 1.4 s
    Then every key is served after 5.5 s
    And no key ever had two holders

  Scenario: A draining target hands its keys over while it still runs
    Given a fleet of 4 targets that serves
    When target 1 starts to drain
    Then target 1 holds no key after 2 s
    And every key is served after 0.5 s

  Scenario: The most requested keys move, and are unserved for at most half a second
    Given a fleet of 4 targets that serves
    When neighbouring keys of target 0 are requested 120 times a second for 3 s
    Then some of them are held by another target
    And no key was unserved for more than 0.5 s in total

  Scenario: Grants that get no reply and are taken late never give a key two holders
    Given a fleet of 4 targets that serves
    When the next 40 grants get no reply and are taken up to 6 s late
    And neighbouring keys of target 0 are requested 120 times a second for 3 s
    Then every key is served after 8 s
    And no key ever had two holders

  Scenario: After a restart of the daemon the present target replaces one known from a late heartbeat
    Given a fleet of 4 targets that serves
    When target 1 is replaced, and its daemon restarts 6 s later and gets a late heartbeat of the former target
    Then daemon 1 knows the present target after 3 s
    And no key ever had two holders
    And every key is served after 4 s

  Scenario: A target that has seen a higher fence is not offered one above it
    Given a fleet of 4 targets that serves
    When target 1 reports that it has seen a higher fence for all its keys
    Then daemon 1 asks for a newer map and offers the same fences at most 3 times a second
