Feature: The load of a key is counted where its owner is

  # A request for a key that moves is refused by the former owner and sent again every 30 ms. Counted
  # there, it made the planner see four times the load that callers sent.
  Scenario: A request that is sent again to the former owner of its key is not load
    Given three instances whose targets hold all keys
    When each gets 5 requests for a key that the map assigns to it and 7 for a key of another
    Then each report counts 5 requests
