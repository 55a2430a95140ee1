Feature: The retry delay for keys whose owner is absent

  Callers have few retries. One before the owner is back is refused again, and retries at the same
  moment overload the owner that has just returned.

  # Guards against refused callers that all retry after 0.1 s, and against delays that begin anew
  # with each refusal.
  Scenario Outline: The delay is the rest of the expected absence, spread over half of it
    Given an ingress daemon by whose map the owner of a key is gone
    When a request for the key arrives <after> s after the first one
    Then it is refused with a retry delay between <least> and <most> s

    Examples:
      | after | least | most |
      | 0     | 0.9   | 1.5  |
      | 0.5   | 0.4   | 1.0  |
      | 3     | 0.1   | 0.7  |

  # Guards against requests to an unreachable daemon that were refused without a retry delay.
  Scenario: The owner's daemon cannot be reached
    Given an ingress daemon by whose map the owner of a key is gone
    And the owner's entry is still there, and its daemon refuses connections
    When a request for the key arrives 0 s after the first one
    Then it is refused with a retry delay between 0.9 and 1.5 s

  # Guards against a delay that ignores how long owners were absent before.
  Scenario: Owners are replaced sooner than expected
    Given an ingress daemon by whose map the owner of a key is gone
    When 8 owners one after the other are replaced 0.4 s after the first request
    And a request for the key arrives 0 s after the first one
    Then it is refused with a retry delay between 0.1 and 0.4 s

  # Guards against the same retry moment for all callers.
  Scenario: Retries of one absence are spread
    Given owners that are expected to be absent for 1.2 s
    When 100 requests are refused each 0.1 s of the absence
    Then no tenth of a second has more than 300 retries

  Scenario: Without the mechanism
    Given an ingress daemon by whose map the owner of a key is gone, without "return-to-instance"
    When a request for the key arrives 0 s after the first one
    Then it is refused with a retry delay between 0.1 and 0.1 s
