Feature: Requests under which targets crash are refused, and those that ran beside them are not

  # Load pattern: one request crashes whoever runs it after 0.1 s and comes each 0.4 s at the next
  # owner of its key; others for the same keys run for 0.12 s and wait for that owner with it.
  Scenario: A request that crashes its targets ends three of them, its neighbours are served
    Given 4 targets, of which a crashed one is back after 2 s
    When for 60 s a request that crashes its target comes each 0.4 s, with 6 that do not
    Then 3 targets have crashed
    And the request is refused, for at least 500 s more
    And none of the 6 is refused

  Scenario: Without it targets crash for as long as the request comes
    Given 4 targets, of which a crashed one is back after 2 s
    And settings that never refuse a request for crashes
    When for 60 s a request that crashes its target comes each 0.4 s, with 6 that do not
    Then at least 30 targets have crashed

  Scenario: Many targets crash at once, and callers come again with what was lost
    Given 40 targets, of which a crashed one is back after 2 s
    When 20 of them crash for another reason, and 10 of the others 1 s later
    Then no request is refused

  Scenario: What a target has run to an end is held against nobody
    Given a request that was running when 2 targets crashed
    When a target runs it to an end
    And a third target crashes while it runs it
    Then it may run at any target

  Scenario: Of two suspected requests a target runs one at a time
    Given two requests that were running when 2 targets crashed
    When both are to run at one target
    Then the first one runs, and the other is told to come back in a moment
    When the first of the two has ended
    Then the other one runs

  Scenario: A request that was refused for a whole quarantine is tried once
    Given a request that was running when 3 targets crashed
    When a whole quarantine has passed
    Then it may run alone
    When a target crashes while it runs it
    Then it is refused for a whole quarantine

  Scenario: A crash that is heard of twice counts once, and an old one only for what is left
    Given a request that was running when 2 targets crashed
    When both crashes are heard of once more
    Then it may run alone
    When a third crash is heard of that was 400 s ago
    Then it is refused for a whole quarantine

  Scenario: Only so much is known
    When 2000 crashes with 12 requests each are heard of
    Then at most 4096 requests and 1024 crashes are known

  # -- how daemons hear of it --------------------------------------------------------------

  Scenario: All daemons hear of a crash, and those that start later
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When 3 targets are said to have crashed under a request, by different daemons
    Then all daemons refuse it after 1.5 s
    When all daemons are started again at once
    Then all daemons refuse it after 1.5 s

  Scenario: While the store is away the daemons beside the service's targets hear of it
    Given a fleet of 6 targets in failure domains "a", "b" and "c" that serves
    When the store is away
    And 3 targets are said to have crashed under a request, by different daemons
    Then all daemons refuse it after 0.5 s
    When the store is back and 8 s have passed
    And all daemons are started again at once
    Then all daemons refuse it after 1.5 s

  Scenario: A target that ends after it said so has not crashed
    Given the daemon beside a target that broke 3 requests off
    When the target ends after it said that it leaves
    Then nothing is held against them

  Scenario: What a caller gave up just before a crash may have caused it
    Given the daemon beside a target that broke 3 requests off
    And a request whose caller had left 0.05 s before, and one whose caller had left 3 s before
    When the target ends without notice
    Then its end is held against 4 requests, the first of these two among them

  Scenario: A caller that leaves is no sign that the target has crashed
    Given the daemon beside a target, one of whose callers has left
    Then the target's end is not looked for

  Scenario: A target that goes on answering has not crashed
    Given the daemon beside a target that broke 3 requests off
    When it answers another one 1 s later and then ends without notice
    Then nothing is held against them
