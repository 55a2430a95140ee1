Feature: Overload patterns, replayed against the daemon's own decisions

  Each pattern is simulated in virtual time with the named mechanisms switched on, and switched off.

  Scenario: Half of the owners of keys are lost: refused callers are still served in time
    When the pattern "lost" is simulated with and without "aged-returns+returns-in-time"
    Then the share of "lookup" in time is at least 0.08 higher with it
    And no class earns more than 0.03 less with it

  Scenario: Callers retry together while all services are over capacity
    When the pattern "over" is simulated with and without "aged-returns+returns-in-time"
    Then the share of "lookup" in time is at least 0.05 higher with it

  Scenario: Half of the targets that other targets call are lost: running requests do not fail through their calls
    When the pattern "lost-reports" is simulated with and without "burst-patience"
    Then the share of "post" that fails is at least 0.12 lower with it
    And all requests together earn at least 0.03 more with it

  Scenario: A burst on a fleet with free capacity for it
    When the pattern "burst" is simulated with and without "burst-patience"
    Then all requests together earn at least -0.005 more with it

  Scenario: Impatient callers retry three times and their age counts from their first attempt
    When the pattern "abuse" is simulated with and without "aged-returns"
    Then the share of "lookup" in time is at least 0.04 higher with it
    And all requests together earn at least 0.01 more with it

  Scenario: Lookups whose calls fail are retried and call again: the overload ends with its trigger
    When the pattern "standing" is simulated with and without "burst-patience+aged-returns+returns-in-time"
    Then all requests together earn at least 0.06 more with it
    And of the requests from 17 to 30 s, a share of at least 0.9 is in time

  Scenario: A key is hot for some seconds: capacity is free soon, and a refused caller gets it in time
    When the pattern "hot" is simulated with and without "returns-in-time"
    Then the share of "lookup" in time is at least 0.005 higher with it

  Scenario: The same seed gives the same results
    When the pattern "hot" is simulated twice
    Then both simulations have the same results

  Scenario Outline: A refused caller with <left> s of its objective left has a retry delay of <delay> s
    Given a request that runs <runs> s and may wait <max_wait> s, with free capacity in <free> s
    Then with <left> s left its retry delay is <delay> s

    Examples:
      | left | runs | max_wait | free | delay |
      | 0.4  | 0.15 | 0.1      | 0.1  | 0.105 |
      | 0.3  | 0.15 | 0.1      | 0.1  | 0.25  |
      | -1.0 | 0.15 | 0.1      | 0.6  | 0.6   |
      | -1.0 | 0.15 | 0.1      | 9.0  | 2.0   |

  Scenario: The age of a retry is derived from the shorter time that it allows
    Given callers that allow 1.5 s for their first attempt
    When 20 of their requests have arrived
    Then the retry age of one that allows 1.4 s is 0.1 s
    And one that allows 1.5 s counts as a first attempt

  Scenario: No age is derived for callers that allow widely varying times
    Given callers that allow between 0.1 s and 0.4 s
    When 60 of their requests have arrived
    Then one that allows 0.2 s counts as a first attempt

  Scenario: A longer time that callers start to allow is learned, and a shorter one as well
    Given callers that allow 1.5 s for their first attempt
    When 20 of their requests have arrived
    And callers allow 3.0 s from now on, and 20 requests have arrived
    Then the retry age of one that allows 2.5 s is 0.5 s
    When callers allow 1.0 s from now on, and 40 requests have arrived over 12 s
    Then the retry age of one that allows 0.8 s is 0.2 s

  Scenario: The maximum wait is longer in a queue that has just formed than in a standing one
    Given a target with 8 slots that is full
    When 2 requests of rank 1 with an objective of 0.4 s wait
    Then one more may wait for at most 0.24 s
    When the queue has been standing for 0.5 s
    Then one more may wait for at most 0.096 s
    And one of rank 0 may wait for at most 0.24 s

  Scenario: A pattern that names an unknown service is refused
    Then a pattern with a request for "nobody" is rejected with an error that names it
