Feature: The time that a request waited on its way counts as its caller's time

  # A daemon that had stood still for more than a second read the requests that had come meanwhile, and
  # sent them to its target with all the time that they had been sent with: their callers had left, and
  # the word of that stood behind them in the same buffer.
  Scenario: A daemon that stood still runs no request whose caller has left
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request with 400 ms left comes at once
    Then it is taken with 400 ms left
    When the daemon stands still for 1.2 s and a request with 400 ms left has waited for 1 s
    Then it is taken with 0 ms left
    When the daemon stands still for 1.2 s and a request with 800 ms left has waited for 0.3 s
    Then it is taken with between 500 and 600 ms left
    When a request with 400 ms left comes at once
    Then it is taken with 400 ms left

  Scenario: The first request on a connection, by the greeting
    Given a connection between two daemons whose clocks are 5000 s apart
    When the daemon stands still for 1.2 s and a request with 400 ms left has waited for 1 s
    Then it is taken with 0 ms left

  Scenario: Clocks that part by 2% each for an hour
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request with 400 ms left comes every 10 s for an hour, and the sender's clock is 4% slower
    Then each is taken with 400 ms left

  Scenario: A peer whose clock cannot be compared
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request comes whose sender's clock was set back by 10000 s
    And a request with 400 ms left comes at once
    Then it is taken with 400 ms left

  Scenario: A peer that tells no time
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request with 400 ms left comes that tells no time
    Then it is taken with 400 ms left
