Feature: Cold targets get no more requests than they sustain

  # Load pattern: callers send as many requests as to a warm target, in bursts and steadily.
  Scenario Outline: A cold target gets no more requests in any second than it sustains: <pattern>
    Given a target that sustains 10 requests a second while it is cold
    When it reports that it is cold for 3 s and <pattern>
    Then it gets at most 10 requests in any second while it is cold
    And it gets at least <least> requests in these 3 s
    And each refused request gets a retry delay after which capacity is free

    Examples:
      | pattern                                 | least |
      | 200 requests a second arrive            | 30    |
      | 80 requests arrive at once, each second | 28    |
      | 8 requests a second arrive              | 24    |

  Scenario: Requests sent just before a target became cold count
    Given a target that sustains 10 requests a second while it is cold
    When it gets 40 requests in a second and then reports that it is cold
    Then it gets no request for 0.7 s

  Scenario: A target that may have become cold counts as cold until it reports otherwise
    Given a target that sustains 10 requests a second while it is cold
    When it is suspected to be cold
    Then it counts as cold
    When it reports 0.05 s later that it is not cold
    Then it counts as cold
    When it reports 0.5 s later that it is not cold
    Then it counts as warm

  Scenario: A target without a configured limit gets all requests while it is cold
    Given a target without a limit while it is cold
    When it reports that it is cold for 3 s and 200 requests a second arrive
    Then it gets at least 599 requests in these 3 s

  Scenario: A cold target reports so few slots that others are preferred, and owns few keys
    Given a target with 9 slots that sustains 10 requests a second while it is cold
    When it reports that it is cold for 3 s
    Then it reports 2 slots and a capacity of 10 requests a second
