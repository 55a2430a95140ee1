Feature: The README's first command

  `make run` is what a newcomer plays first: 18 daemons and as many servers, mixed traffic, one
  planned stop, a changed row. It broke its promise "a planned stop cuts no request" in three of
  ten plays, and no test played it.

  Scenario: The demonstration keeps its promises
    When the demonstration is played
    Then it prints 8 promises, and each was held
    And it ends with exit code 0 by itself
