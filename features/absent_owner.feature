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
      | 0     | 0.2   | 0.45 |
      | 0.5   | 0.1   | 0.35 |
      | 3     | 0.1   | 0.35 |

  # Guards against many callers that retry before the instances of a mass loss can be back.
  Scenario Outline: Many owners are absent: the delay is the time in which instances return
    Given an ingress daemon by whose map the owner of a key is gone
    And 16 other owners of the map are gone as well
    When a request for the key arrives <after> s after the first one
    Then it is refused with a retry delay between <least> and <most> s

    Examples:
      | after | least | most |
      | 0     | 0.9   | 1.5  |
      | 0.5   | 0.4   | 1.0  |
      | 3     | 0.1   | 0.7  |

  # Guards against one loss of many owners that is learned as many absences: the next lone absence
  # would get a delay of seconds.
  Scenario: After a long loss of many owners the delay for a lone one is as before
    Given an ingress daemon by whose map the owner of a key is gone
    And 16 other owners of the map are gone as well
    When all owners are replaced 4 s after the first request
    And a request for the key arrives 0 s after the first one
    Then it is refused with a retry delay between 0.2 and 0.45 s

  # Guards against requests to an unreachable daemon that were refused without a retry delay.
  Scenario: The owner's daemon cannot be reached
    Given an ingress daemon by whose map the owner of a key is gone
    And the owner's entry is still there, and its daemon refuses connections
    When a request for the key arrives 0 s after the first one
    Then it is refused with a retry delay between 0.2 and 0.45 s

  # Guards against a delay that ignores how long owners were absent before.
  Scenario: Owners are replaced later than expected
    Given an ingress daemon by whose map the owner of a key is gone
    When 8 owners one after the other are replaced 2 s after the first request
    And a request for the key arrives 0 s after the first one
    Then it is refused with a retry delay between 1.6 and 2.7 s

  # Guards against the same retry moment for all callers.
  Scenario: Retries of one absence are spread
    Given 3 owners that are expected to be absent for 1.2 s
    When 100 requests are refused each 0.1 s of the absence
    Then no tenth of a second has more than 300 retries

  Scenario: Without the mechanism
    Given an ingress daemon by whose map the owner of a key is gone, without "return-to-instance"
    When a request for the key arrives 0 s after the first one
    Then it is refused with a retry delay between 0.1 and 0.1 s
