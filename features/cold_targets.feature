Feature: Targets that are cold get what they bear

  # Load pattern: callers bring as many requests as to a warm target, in bursts and steadily.
  Scenario Outline: A cold target gets no more in any second than it bears: <pattern>
    Given a target that bears 10 requests a second while it is cold
    When it says that it is cold for 3 s and <pattern>
    Then it gets at most 10 requests in any second while it is cold
    And it gets at least <least> requests in these 3 s
    And whoever is refused is told to come back when there is room

    Examples:
      | pattern                               | least |
      | 200 requests a second come            | 30    |
      | 80 requests come at once, each second | 28    |
      | 8 requests a second come              | 24    |

  Scenario: What a target got just before it turned cold counts
    Given a target that bears 10 requests a second while it is cold
    When it gets 40 requests in a second and then says that it is cold
    Then it gets no request for 0.7 s

  Scenario: A target that may have turned cold counts as cold until it says otherwise
    Given a target that bears 10 requests a second while it is cold
    When there is doubt whether it is cold
    Then it counts as cold
    When it says 0.05 s later that it is not cold
    Then it counts as cold
    When it says 0.5 s later that it is not cold
    Then it counts as warm

  Scenario: A target of which nothing is said has no limit
    Given a target of which nothing is said
    When it says that it is cold for 3 s and 200 requests a second come
    Then it gets at least 599 requests in these 3 s

  Scenario: A cold target tells so few slots that others are asked first, and owns few keys
    Given a target with 9 slots that bears 10 requests a second while it is cold
    When it says that it is cold for 3 s
    Then it tells 2 slots and a capacity of 10 requests a second
