Feature: The README's first command

  `make run` is the first command that a new user runs: 18 daemons and as many servers, mixed
  traffic, one planned stop and a changed row. Guards against a demonstration that violates its own
  guarantee "a planned stop cuts no request".

  Scenario: The demonstration keeps its promises
    When the demonstration is run
    Then it prints 8 guarantees, and each one held
    And it ends with exit code 0 by itself
