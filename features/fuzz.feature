@fuzz
Feature: Stateful fuzzing against simple oracles

  Scenario Outline: <machine>
    When the "<machine>" machine runs for its examples
    Then its oracle found nothing

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
