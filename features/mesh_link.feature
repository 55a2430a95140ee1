Feature: Long answers take turns on the instance's link

  Scenario: What is handed over ahead stays small, so that a short answer never waits
    Given a link of 6 Mbit/s on which 5 answers of 90000 bytes wait
    When turns are given for 0.5 s
    Then no more than 0.04 s of the link was ever handed over ahead
    And the link was busy all the time

  Scenario: The shortest rest goes first among the answers that can come in time
    Given a link of 6 Mbit/s on which answers of 200000, 50000 and 90000 bytes wait
    When turns are given until all are handed over
    Then they ended in the order 50000, 90000, 200000

  Scenario: An answer that comes too late anyway lets those pass that can come in time
    Given a link of 6 Mbit/s on which answers of 50000 and 200000 bytes wait, the first of them late
    When turns are given until all are handed over
    Then they ended in the order 200000, 50000

  Scenario: A late answer is not left waiting while others keep coming
    Given a link of 6 Mbit/s on which answers of 50000 and 90000 bytes wait, the first of them late
    When turns are given for 1.5 s while another answer of 90000 bytes comes every 0.1 s
    Then the one of 50000 bytes has ended
    And at least 0.8 of what was handed over was of answers in time

  # Its first part is with the caller, so that nothing else can be answered any more, and the caller's
  # daemon ends at that time.
  Scenario: A late answer that has begun comes whole before its time ends, others keep coming
    Given a link of 6 Mbit/s on which 8 answers of 90000 bytes wait, all of them late
    And the last of them has begun and has 3 s left
    When turns are given for 3 s while another answer of 90000 bytes comes every 0.1 s
    Then the last of them has ended
    And at least 0.7 of what was handed over was not of late answers

  Scenario: A late answer that has not begun lets others pass until its time ends
    Given a link of 6 Mbit/s on which 8 answers of 90000 bytes wait, all of them late
    And the last of them has not begun and has 3 s left
    When turns are given for 3 s while another answer of 90000 bytes comes every 0.1 s
    Then the last of them has not begun yet

  Scenario: An answer whose receiver takes no more holds nobody up
    Given a link of 6 Mbit/s on which answers of 50000 and 90000 bytes wait
    When the receiver of the first takes no more
    And turns are given for 1 s
    Then only the one of 90000 bytes has ended

  Scenario: On a fast link nothing waits
    Given a link of 1000 Mbit/s on which 5 answers of 90000 bytes wait
    When turns are given for 0.005 s
    Then all have ended

  # -- streams --------------------------------------------------------------------------------

  Scenario: A short answer passes a long one
    Given a daemon whose link carries 1 Mbit/s
    When 90000 bytes and then 300 bytes are answered to two peers
    Then the short one is sent whole at once, and of the long one no more than a chunk
    And 1 s later all of the long one is sent, and its head came first

  Scenario: A long answer leaves the target's slot as soon as the target has sent it
    Given a daemon whose link carries 1 Mbit/s
    When 90000 bytes and then 300 bytes are answered to two peers
    Then the target may go on, and the daemon still counts one answer

  Scenario: An answer that nobody wants any more is not sent
    Given a daemon whose link carries 1 Mbit/s
    When 90000 bytes and then 300 bytes are answered to two peers
    And the requester of the long one gives up
    Then nothing more of it is sent, and the daemon counts no answer

  Scenario: The reset that follows a whole answer waits for the answer
    Given a daemon whose link carries 1 Mbit/s
    When 90000 bytes and then 300 bytes are answered to two peers
    And the request of the long one is reset, as the rest of its body is not wanted
    Then 1 s later all of the long one is sent, and the reset after it

  # -- admission ------------------------------------------------------------------------------

  Scenario Outline: A long request is refused where the link would bring its answer too late: <case>
    Given a link of 6 Mbit/s on which <waiting> answers of 90000 bytes wait, <late> of them late
    And <running> more are still run by the target
    When a long request that runs 0.1 s, with 0.8 s to its objective and 4 s left, comes to <which> target
    Then the long request is <outcome>

    Examples:
      | case                              | waiting | late | running | which     | outcome |
      | the link is free                  | 1       | 0    | 0       | the first | begun   |
      | there is time for those ahead     | 3       | 0    | 0       | the first | begun   |
      | too many are ahead                | 8       | 0    | 0       | the first | refused |
      | too many will be ahead            | 1       | 0    | 7       | the first | refused |
      | those ahead are late and let pass | 8       | 8    | 0       | the first | begun   |
      | nobody else will be asked         | 8       | 0    | 0       | the last  | begun   |
      | too many late ones wait already   | 12      | 6    | 0       | the last  | refused |
