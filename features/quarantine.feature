Feature: Requests that crash their targets are refused, and those that ran beside them are not

  # Load pattern: one request crashes its target after running for 0.1 s and arrives every 0.4 s at
  # the next owner of its key; others for the same keys run for 0.12 s and wait for that owner too.
  Scenario: A request that crashes its targets is refused after three crashes, and those beside it are served
    Given 4 targets, of which a crashed one is available again after 2 s
    When for 60 s a request that crashes its target arrives every 0.4 s, with 6 harmless ones
    Then 3 targets have crashed
    And the request is refused, for at least 500 s more
    And none of the 6 harmless ones is refused

  Scenario: Without quarantine, targets crash for as long as the request arrives
    Given 4 targets, of which a crashed one is available again after 2 s
    And settings that never refuse a request because of crashes
    When for 60 s a request that crashes its target arrives every 0.4 s, with 6 harmless ones
    Then at least 30 targets have crashed

  Scenario: Many targets crash at once, and callers retry the requests that were lost
    Given 40 targets, of which a crashed one is available again after 2 s
    When 20 of them crash for another reason, and 10 of the others 1 s later
    Then no request is refused

  Scenario: A request that a target has completed is no longer suspected
    Given a request that was running when 2 targets crashed
    When a target completes it
    And a third target crashes while running it
    Then it may run at any target

  Scenario: Of two suspected requests a target runs one at a time
    Given two requests that were running when 2 targets crashed
    When both are to run at one target
    Then the first one runs, and the other is refused with a short retry delay
    When the first of the two has ended
    Then the other one runs

  Scenario: A request that was refused for a full quarantine period is tried once
    Given a request that was running when 3 targets crashed
    When a full quarantine period has passed
    Then it may run alone
    When a target crashes while running it
    Then it is refused for a full quarantine period

  Scenario: A crash that is reported twice counts once, and an old one only for the time that is left
    Given a request that was running when 2 targets crashed
    When both crashes are reported again
    Then it may run alone
    When a third crash is reported that was 400 s ago
    Then it is refused for a full quarantine period

  Scenario: The number of requests and crashes that are kept is limited
    When 2000 crashes with 12 requests each are reported
    Then at most 4096 requests and 1024 crashes are kept

  # -- how daemons learn of crashes --------------------------------------------------------

  Scenario: All daemons learn of a crash, including those that start later
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When 3 targets are reported to have crashed while running a request, by different daemons
    Then all daemons refuse it after 1.5 s
    When all daemons are started again at once
    Then all daemons refuse it after 1.5 s

  Scenario: While the store is unavailable, the daemons of the service's targets learn of it
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the store is unavailable
    And 3 targets are reported to have crashed while running a request, by different daemons
    Then all daemons refuse it after 0.5 s
    When the store is available again and 8 s have passed
    And all daemons are started again at once
    Then all daemons refuse it after 1.5 s

  Scenario: A target that ends after announcing it has not crashed
    Given the daemon of a target at which 3 requests failed
    When the target ends after announcing it
    Then no crash is recorded

  Scenario: A request whose caller disconnected just before a crash may have caused it
    Given the daemon of a target at which 3 requests failed
    And a request whose caller disconnected 0.05 s before, and one whose caller disconnected 3 s before
    When the target ends unannounced
    Then the crash record names 4 requests, the first of these two among them

  Scenario: A caller that disconnects is no sign that the target has crashed
    Given the daemon of a target, one of whose callers has disconnected
    Then the target is not suspected to have crashed

  Scenario: A target that still completes requests has not crashed
    Given the daemon of a target at which 3 requests failed
    When it completes another one 1 s later and then ends unannounced
    Then no crash is recorded
