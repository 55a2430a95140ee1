Feature: The transit delay of a request is deducted from its deadline

  # Guards against running requests whose callers have disconnected. A daemon that stalls for more
  # than a second then reads the requests that arrived meanwhile. Without the deduction it sends
  # them to its target with all the time left that their senders stated, as the cancellations follow
  # them in the same buffer.
  Scenario: A daemon that stalled runs no request whose caller has disconnected
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request with 400 ms left arrives at once
    Then it is accepted with 400 ms left
    When the daemon stalls for 1.2 s and a request with 400 ms left has waited for 1 s
    Then it is accepted with 0 ms left
    When the daemon stalls for 1.2 s and a request with 800 ms left has waited for 0.3 s
    Then it is accepted with between 500 and 600 ms left
    When a request with 400 ms left arrives at once
    Then it is accepted with 400 ms left

  Scenario: The first request on a connection, by the time in the greeting
    Given a connection between two daemons whose clocks are 5000 s apart
    When the daemon stalls for 1.2 s and a request with 400 ms left has waited for 1 s
    Then it is accepted with 0 ms left

  Scenario: Clocks that drift by 2% each for an hour
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request with 400 ms left arrives every 10 s for an hour, and the sender's clock is 4% slower
    Then each is accepted with 400 ms left

  Scenario: A peer whose clock cannot be compared
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request arrives whose sender's clock was set back by 10000 s
    And a request with 400 ms left arrives at once
    Then it is accepted with 400 ms left

  Scenario: A peer that does not send the time
    Given a connection between two daemons whose clocks are 5000 s apart
    When a request with 400 ms left arrives without the time at which it was sent
    Then it is accepted with 400 ms left
