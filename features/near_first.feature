Feature: Requests of services without keys stay in their failure domain while it can serve them

  Bytes between failure domains are scarce. Decisions are the daemon's own; loads are replayed in
  virtual time.

  Scenario: A near target with a free slot is preferred to a faster far one
    Given a near target "n" that runs a request in 0.2 s with 3 of 6 slots taken
    And a far target "f" that runs a request in 0.05 s with 0 of 6 slots taken
    Then a request with an objective of 0.6 s goes to "n"
    And a request without an objective goes to "f"

  Scenario: The fastest of the near targets with a free slot is chosen
    Given a near target "slow" that runs a request in 0.2 s with 0 of 6 slots taken
    And a near target "fast" that runs a request in 0.1 s with 2 of 6 slots taken
    And a near target "full" that runs a request in 0.02 s with 6 of 6 slots taken
    And a far target "f" that runs a request in 0.05 s with 0 of 6 slots taken
    Then a request with an objective of 0.6 s goes to "fast"

  Scenario: A near target that would respond too late does not keep a request from a far one
    Given a near target "n" that runs a request in 0.4 s with 0 of 6 slots taken
    And a far target "f" that runs a request in 0.1 s with 0 of 6 slots taken
    Then a request with an objective of 0.6 s of which 0.3 s are left goes to "f"
    And a request with an objective of 0.6 s of which 0.5 s are left goes to "n"

  Scenario: A full failure domain is left only for a far target that responds sooner
    Given a near target "n" that runs a request in 0.1 s with 6 of 6 slots taken
    And a far target "f" that runs a request in 0.12 s with 1 of 6 slots taken
    Then a request with an objective of 0.6 s goes to "n"
    When "n" reports 3 waiting requests
    Then a request with an objective of 0.6 s goes to "f"
    And a request with an objective of 3 s goes to "n"

  Scenario: After two near targets without a free slot, the expected wait decides
    Given a near target "n" that runs a request in 0.1 s with 5 of 6 slots taken
    And a far target "f" that runs a request in 0.05 s with 0 of 6 slots taken
    Then a request with an objective of 0.6 s goes to "n"
    And the same request goes to "n" after 1 refusal for lack of a free slot
    And the same request goes to "f" after 2 refusals for lack of a free slot

  Scenario: A near target that has just failed does not keep requests from far ones
    Given a near target "n" that runs a request in 0.1 s with 0 of 6 slots taken
    And a far target "f" that runs a request in 0.12 s with 0 of 6 slots taken
    When "n" fails a request
    Then a request with an objective of 2 s goes to "f"
    And 3 s later it goes to "n"

  Scenario: A failure domain without usable targets uses far ones
    Given a far target "f" that runs a request in 0.1 s with 6 of 6 slots taken
    Then a request with an objective of 0.6 s goes to "f"

  Scenario: Fewer attempts leave the failure domain, and no fewer requests are in time
    When the pattern "near" is replayed at 0.8 and 1.0 times its rates, with and without "near-first"
    Then less than 15 of 100 attempts leave the failure domain, and without it more than 40
    And the share in time is not lower by more than 0.005
    And the busiest target is not busier by more than a tenth

  Scenario: A failure domain that slows down sends requests to the others, and stops afterwards
    When the targets of one failure domain of the pattern "near" are 4 times as slow from 5 to 10 s
    Then within a second at least half of the attempts of its daemons leave it
    And 2 s after the end at most a quarter of them leave it
