@fuzz
Feature: Stateful fuzzing against simple oracles

  Scenario Outline: <machine>
    When the "<machine>" state machine runs its examples
    Then its oracle found no violation

    Examples:
      | machine                        |
      | ownership                      |
      | streams                        |
      | retries                        |
      | table                          |
      | ownership on a users' platform |
      | ownership by calls             |
      | a store that goes back         |
      | a store that goes back, calls  |
