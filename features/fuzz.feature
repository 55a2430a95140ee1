@fuzz
Feature: Stateful fuzzing against simple oracles

  Scenario Outline: <machine>
    When the "<machine>" state machine runs its examples
    Then its oracle found no violation

    Examples:
      | machine                                    |
      | ownership                                  |
      | streams                                    |
      | retries                                    |
      | rate limits                                |
      | table                                      |
      | ownership on a users' platform             |
      | ownership by calls                         |
      | a store restored from an older copy        |
      | a store restored from an older copy, calls |
