Feature: Requests to a target that advertises a rate limit, in virtual time

  The daemon beside the target queues and sends the requests; its decisions are those of the product.

  Scenario Outline: The rate is kept for any limit: <limit> a second
    Given a target with 12 slots and requests that run 0.1 s
    When it advertises a limit of <limit> a second and 200 requests arrive each second for 10 s
    Then it gets at most <most> requests in any 4 s
    And it gets at least <least> requests in these 10 s

    Examples:
      | limit | most | least |
      | 0     | 1    | 1     |
      | 0.4   | 2    | 4     |
      | 2.5   | 11   | 23    |
      | 26.1  | 112  | 240   |
      | 600   | 520  | 1100  |

  Scenario: The limit for a cold target and the advertised one are both kept
    Given a target with 12 slots and requests that run 0.1 s
    And it is cold for 5 s and sustains 4 requests a second meanwhile
    When it advertises a limit of 10 a second and 200 requests arrive each second for 10 s
    Then it gets at most 20 requests in the first 4 s
    And it gets at most 43 requests in any 4 s
    And it gets at least 60 requests in these 10 s

  Scenario: A limit that falls counts the requests that were sent just before
    Given a target with 12 slots and requests that run 0.1 s
    When 200 requests arrive each second for 2 s and it then advertises a limit of 8 a second
    Then it gets no request for 0.2 s more

  Scenario: A daemon that was suspended does not send at once what has queued up meanwhile
    Given a target with 12 slots and requests that run 0.1 s
    And it advertises a limit of 8 a second
    When 40 requests arrive while the daemon is suspended for 3 s
    Then it gets at most 4 requests within 0.25 s after that

  Scenario: The next free send goes to the most urgent request, not to the one that came first
    Given a target with 12 slots and requests that run 0.1 s
    And it advertises a limit of 4 a second
    When requests of rank 2, 2, 1 and 0 arrive at once
    Then they are sent in the order of rank 2, 0, 1 and 2

  Scenario: A request that waits for a free send is sent while slots are free and no other ends
    Given a target with 12 slots and requests that run 5 s
    And it advertises a limit of 4 a second
    When requests of rank 1 and 1 arrive at once
    Then the last one is sent after 0.25 s

  Scenario: A request whose turn would come too late is refused at once, with the reason
    Given a target with 12 slots and requests that run 0.1 s
    And it advertises a limit of 1 a second
    When 5 requests arrive at once that are worth most within 0.4 s
    Then all but the first are refused at once, as "target limits its rate"

  Scenario: Refused callers do not return at the same moment
    Given a target with 12 slots and requests that run 0.1 s
    And it advertises a limit of 1 a second
    When 20 requests arrive at once that are worth most within 0.4 s
    Then the retry delays differ by up to a third, none is shorter than the wait for the next send

  Scenario: A request that got a slot but was not sent does not count
    Given a target with 12 slots and requests that run 0.1 s
    And it advertises a limit of 1 a second
    When a request gets its slot and ends before it is sent
    Then the next one is sent at once

  Scenario: A limit that ends lets waiting requests go at once
    Given a target with 12 slots and requests that run 0.1 s
    And it advertises a limit of 4 a second
    When requests of rank 1, 1 and 1 arrive at once
    And it advertises no limit any more
    Then all of them have been sent

  Scenario Outline: A restarted daemon sends few requests until a response shows if there is a limit: <limit>
    Given a daemon that was started beside a target with 12 slots and requests that run 0.1 s
    When 12 requests arrive at once
    Then at most 2 of them are sent before the first response
    When the first response names <limit>
    Then <sent> of them have been sent

    Examples:
      | limit      | sent |
      | no limit   | 12   |
      | 1 a second | 2    |

  Scenario Outline: The planner gives an owner keys for its limit, and no fewer than usual for a slow one
    Given owners that run 50 requests a second on average
    Then one that reports <capacity> a second, <source>, is planned with <planned> a second

    Examples:
      | capacity | source       | planned |
      | 4        | limited      | 4       |
      | 4        | measured     | 20      |
      | 500      | measured     | 125     |

  # A target whose keys were all moved away gets no request, so that none of its responses can show
  # that its limit has ended.
  Scenario: A limit that no response has advertised for 10 s is unknown, not in force for ever
    Given a target with 12 slots and requests that run 0.1 s
    And it advertises a limit of 1 a second
    When 9 s pass without a request
    Then its capacity is 1 a second
    When 2 s pass without a request
    Then its capacity is more than 40 a second
    When 12 requests arrive at once
    Then at most 2 of them are sent before the first response
