Feature: Long responses share the instance's link in chunk slots

  Scenario: Little is sent ahead of the link, so that a short response never waits
    Given a link of 6 Mbit/s on which 5 responses of 90000 bytes wait
    When chunk slots are granted for 0.5 s
    Then the bytes sent were never more than 0.04 s ahead of the link
    And the link was busy all the time

  Scenario: Among the responses that can be in time the one with the fewest remaining bytes goes first
    Given a link of 6 Mbit/s on which responses of 200000, 50000 and 90000 bytes wait
    When chunk slots are granted until all are sent
    Then they were completed in the order 50000, 90000, 200000

  Scenario: A response that is late in any case yields to those that can be in time
    Given a link of 6 Mbit/s on which responses of 50000 and 200000 bytes wait, the first of them late
    When chunk slots are granted until all are sent
    Then they were completed in the order 200000, 50000

  Scenario: A late response is sent in the end although others keep arriving
    Given a link of 6 Mbit/s on which responses of 50000 and 90000 bytes wait, the first of them late
    When chunk slots are granted for 1.5 s while another response of 90000 bytes arrives every 0.1 s
    Then the one of 50000 bytes is completely sent
    And at least 0.8 of the bytes sent were of responses in time

  # The caller already has the first part of the response, so that it can't get another one instead,
  # and its daemon ends the request at the deadline.
  Scenario: A late response that has started is complete before its deadline although others keep arriving
    Given a link of 6 Mbit/s on which 8 responses of 90000 bytes wait, all of them late
    And the last of them has started and has 3 s to its deadline
    When chunk slots are granted for 3 s while another response of 90000 bytes arrives every 0.1 s
    Then the last of them is completely sent
    And at least 0.7 of the bytes sent were not of late responses

  Scenario: A late response that has not started yields to others until its deadline
    Given a link of 6 Mbit/s on which 8 responses of 90000 bytes wait, all of them late
    And the last of them has not started and has 3 s to its deadline
    When chunk slots are granted for 3 s while another response of 90000 bytes arrives every 0.1 s
    Then the last of them has not started yet

  # Guards against responses that are cut off in the middle at their deadline, also at the end of a
  # planned stop: they were started when the link could not carry them in time any more.
  Scenario Outline: A response that an overloaded link cannot carry in time is not started: <mbit> Mbit/s, <load> times as much
    Given a link of <mbit> Mbit/s on which 0 responses of 90000 bytes wait
    When responses of 20000 to 540000 bytes arrive for 20 s, <load> times as much as the link carries, and have 1.5 to 4 s to their deadlines
    Then none of those whose deadlines passed had started
    And at least 0.8 of the link was used for complete responses

    Examples:
      | mbit | load |
      | 5    | 1.2  |
      | 12   | 1.2  |
      | 12   | 2    |

  Scenario: A response whose receiver accepts no more data delays no other one
    Given a link of 6 Mbit/s on which responses of 50000 and 90000 bytes wait
    When the receiver of the first accepts no more data
    And chunk slots are granted for 1 s
    Then only the one of 90000 bytes is completely sent

  Scenario: On a fast link nothing waits
    Given a link of 1000 Mbit/s on which 5 responses of 90000 bytes wait
    When chunk slots are granted for 0.005 s
    Then all are completely sent

  # -- streams --------------------------------------------------------------------------------

  Scenario: A short response overtakes a long one
    Given a daemon whose link carries 1 Mbit/s
    When responses of 90000 bytes and then 300 bytes are sent to two peers
    Then the short one is sent completely at once, and no more than a chunk of the long one
    And 1 s later the long one is sent completely, its head first

  Scenario: A long response frees the target's slot as soon as the target has sent it
    Given a daemon whose link carries 1 Mbit/s
    When responses of 90000 bytes and then 300 bytes are sent to two peers
    Then the target may continue, and the daemon still counts one waiting response

  Scenario: A response that is too long for the link in any case is sent, though late
    Given a daemon whose link carries 1 Mbit/s
    And requests that have 5 s to their deadlines
    When responses of 900000 bytes and then 300 bytes are sent to two peers
    Then 8 s later the long one is sent completely, its head first

  Scenario: A response that is no longer needed is not sent
    Given a daemon whose link carries 1 Mbit/s
    When responses of 90000 bytes and then 300 bytes are sent to two peers
    And the requester of the long one cancels its request
    Then nothing more of it is sent, and the daemon counts no waiting response

  Scenario: The reset that follows a complete response waits for the response
    Given a daemon whose link carries 1 Mbit/s
    When responses of 90000 bytes and then 300 bytes are sent to two peers
    And the request of the long one is reset, as the rest of the request body is not needed
    Then 1 s later the long one is sent completely, and the reset after it

  # -- admission ------------------------------------------------------------------------------

  Scenario Outline: A long request is refused where the link would deliver its response too late: <case>
    Given a link of 6 Mbit/s on which <waiting> responses of 90000 bytes wait, <late> of them late
    And <running> more are still being run by the target
    When a long request that runs 0.1 s, with 0.8 s to its objective and 4 s to its deadline, arrives at <which> target
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
