Feature: What targets state in the headers of their responses

  Scenario Outline: A rate limit is a decimal number of requests per second: <value>
    When a target responds with the rate limit "<value>"
    Then the limit that is read is <limit>

    Examples:
      | value                             | limit |
      | 26.1                              | 26.1  |
      | 0.4                               | 0.4   |
      | 0                                 | 0.0   |
      | 600                               | 600.0 |
      | .5                                | 0.5   |
      |                                   | none  |
      | -3                                | none  |
      | +3                                | none  |
      | 1_000                             | none  |
      | inf                               | none  |
      | nan                               | none  |
      | 1e3                               | none  |
      | 3, 4                              | none  |
      | 26.1 per second                   | none  |
      | 111111111111111111111111111111111 | none  |

  Scenario: A rate limit that is sent twice is not read
    When a target advertises the rate limits "5" and "6" in one response
    Then the limit that is read is none

  Scenario Outline: Only one value states that a target leaves: <value>
    When a target responds with the header "Server-Leaving" and the value "<value>"
    Then it leaves: <leaves>

    Examples:
      | value | leaves |
      | 1     | yes    |
      | 0     | no     |
      | true  | no     |
      |       | no     |

  Scenario: A header that the platform does not define is reported by its name
    When a target responds with the header "Server-Mood" and the value "3"
    Then the unknown headers are "server-mood"

  # -- the limit in force --------------------------------------------------------------------

  Scenario: A stricter limit applies at once, whenever its request was sent
    Given a target that advertised a limit of 20 a second at 10 s
    When it responds at 11 s with a limit of 5 to a request sent at 9 s
    Then the limit in force is 5 a second

  Scenario: A response to a request that was sent before the limit was named does not relax it
    Given a target that advertised a limit of 5 a second at 10 s
    When it responds at 11 s with a limit of 20 to a request sent at 9 s
    And it responds at 11 s without a limit to a request sent at 9 s
    Then the limit in force is 5 a second

  Scenario: A response to a request that was sent after the limit was named ends it
    Given a target that advertised a limit of 5 a second at 10 s
    When it responds at 11 s without a limit to a request sent at 10.5 s
    Then no limit is in force

  Scenario: Another incarnation of the target has no limit
    Given a target that advertised a limit of 5 a second at 10 s
    When another incarnation of it starts
    Then no limit is in force

  # -- the log -------------------------------------------------------------------------------

  Scenario: A limit is logged when it is named, changed and lifted, not with each response
    When a target advertises 20, 20, 20, 5 and no limit in its responses
    Then the log has the changes "none to 20, 20 to 5, 5 to none"

  Scenario: What cannot be read is logged once
    When a target sends 100 responses with the rate limit "often" and the header "Server-Mood"
    Then the log has one line "rate_limit_unreadable" and one line "response_header_unknown"

  # -- a target that leaves ------------------------------------------------------------------

  Scenario: A target that drains when its daemon is started gets no request: its time may be over
    Given a daemon whose target drains from its first heartbeat on
    Then the target gets no request

  Scenario: A target that begins to drain gets requests in transit for part of the drain time
    Given a daemon whose target drains from its second heartbeat on
    Then the target gets requests for less than the drain time of 2 s

  Scenario: Requesters remember a target that leaves although its daemon was restarted
    Given a requester that has forwarded a response of a target that leaves
    When the daemon beside the target is restarted and publishes the target as ready
    Then the requester chooses another target

  # -- the choice among targets --------------------------------------------------------------

  Scenario: Requesters avoid a target while it is known to limit its rate, and try it again later
    Given two targets with 12 slots, one of which reports 1 slot since it advertises a limit
    Then a requester chooses the other one 1 s after that
    And a requester chooses either one 3 s after that
