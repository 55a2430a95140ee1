Feature: Requests that wait for keys look again when those keys come

  # After all daemons had been started again one had 85 ranges to grant by calls. Each answer let all
  # requests that waited look again, and the daemon stood still for 1.2 s; then it read requests whose
  # callers had left meanwhile, and sent them on.
  Scenario: Keys that come by many calls
    Given a daemon whose target is to get 85 ranges by calls, and 500 requests that wait for them
    When the calls are answered, one after the other
    Then each of the 500 requests has looked once
    And no more than 16 calls were ever under way
