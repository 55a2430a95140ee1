Feature: Load at its worst, replayed against the daemon's own decisions

  Each pattern is played in virtual time with one mechanism on, and switched off.

  Scenario: Half of the owners of keys are lost: callers that are refused are still served in time
    When the pattern "lost" is played with and without "aged-returns+returns-in-time"
    Then of "lookup", 0.08 more are in time with it
    And no class earns 0.03 less with it

  Scenario: Callers come back together while all services are over capacity
    When the pattern "over" is played with and without "aged-returns+returns-in-time"
    Then of "lookup", 0.05 more are in time with it

  Scenario: Half of the targets are lost that other targets call: what runs does not fail by its calls
    When the pattern "lost-reports" is played with and without "burst-patience"
    Then of "post", 0.12 fewer fail with it
    And all requests together earn 0.03 more with it

  Scenario: A burst on a fleet with room for it
    When the pattern "burst" is played with and without "burst-patience"
    Then all requests together earn -0.005 more with it

  Scenario: Impatient callers come back three times and are aged from their first try
    When the pattern "abuse" is played with and without "aged-returns"
    Then of "lookup", 0.04 more are in time with it
    And all requests together earn 0.01 more with it

  Scenario: Lookups whose calls fail come back and call again: it ends with its trigger
    When the pattern "standing" is played with and without "burst-patience+aged-returns+returns-in-time"
    Then all requests together earn 0.06 more with it
    And of the requests that come from 17 to 30 s, 0.9 are in time

  Scenario: A key turns hot for some seconds: there is room soon, and a refused caller finds it in time
    When the pattern "hot" is played with and without "returns-in-time"
    Then of "lookup", 0.005 more are in time with it

  Scenario: The same seed plays the same way
    When the pattern "hot" is played twice
    Then both plays are alike

  Scenario Outline: A refused caller with <left> s of its objective left comes back after <back> s
    Given a request that runs <runs> s and may wait <patience> s, with room in <room> s
    Then with <left> s left it comes back after <back> s

    Examples:
      | left | runs | patience | room | back  |
      | 0.4  | 0.15 | 0.1      | 0.1  | 0.105 |
      | 0.3  | 0.15 | 0.1      | 0.1  | 0.25  |
      | -1.0 | 0.15 | 0.1      | 0.6  | 0.6   |
      | -1.0 | 0.15 | 0.1      | 9.0  | 2.0   |

  Scenario: The age of a return is told by the shorter time that it allows
    Given callers who allow 1.5 s for their first try
    When 20 of them have come
    Then one that allows 1.4 s first came 0.1 s ago
    And one that allows 1.5 s comes for the first time

  Scenario: Callers that allow all kinds of times tell no age
    Given callers who allow between 0.1 s and 0.4 s
    When 60 of them have come
    Then one that allows 0.2 s comes for the first time

  Scenario: A longer time that callers allow from now on is learned, and a shorter one as well
    Given callers who allow 1.5 s for their first try
    When 20 of them have come
    And callers allow 3.0 s from now on, and 20 have come
    Then one that allows 2.5 s first came 0.5 s ago
    When callers allow 1.0 s from now on, and 40 have come over 12 s
    Then one that allows 0.8 s first came 0.2 s ago

  Scenario: A queue that has just formed is waited in for longer than one that stands
    Given a target with 8 slots that is full
    When 2 requests of rank 1 with an objective of 0.4 s wait
    Then one more may wait 0.24 s
    When they and their successors have waited for 0.5 s
    Then one more may wait 0.096 s
    And one of rank 0 may wait 0.24 s

  Scenario: A pattern that names an unknown service is refused
    Then a pattern with a request for "nobody" is refused, naming it
