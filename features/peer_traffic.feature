Feature: The bytes sent to other daemons are counted by kind and by distance

  # Guards against bytes that are counted twice, under a wrong kind or not at all: the sum over all
  # kinds has to equal what was written to the connection.
  Scenario Outline: Each byte that a requester writes is counted once, under its kind
    Given a counted connection to a daemon in the failure domain "<domain>"
    When it sends a request with a body of 700 bytes
    And it sends a request with 300 bytes of data that follow
    And it sends the control message askKeys
    And it resets the last stream
    Then 700 bytes of the first body and 312 of the second's frame count as request_body to <distance>
    And the frames request_head 2, request_body 1, control.askKeys 1, reset 1 and hello 1 are counted
    And the bytes of all kinds add up to what was written

    Examples:
      | domain | distance |
      | hall-1 | same     |
      | hall-2 | other    |

  Scenario: A response's head and body are counted apart
    Given a counted connection from a daemon in the failure domain "hall-2"
    When it responds with a body of 900 bytes
    Then the bytes of response_body to other are 900
    And the bytes of all kinds add up to what was written

  # The flags of a RESET are its code, and one code has the number of the flag for a body: counting it
  # raised an error, and the request that was reset kept its slot.
  Scenario Outline: A reset is counted, whatever its code
    Given a counted connection from a daemon in the failure domain "hall-2"
    When it receives a request and resets it with <code>
    Then the bytes of reset to other are 12
    And the bytes of all kinds add up to what was written

    Examples:
      | code      |
      | CANCELLED |
      | BROKEN    |

  # A peer's entry may be read only after its first bytes. A sum that decreased when the domain
  # becomes known would be taken for a restart of the daemon by whoever reads the metric.
  Scenario: Bytes to a peer whose failure domain is not known stay counted as such
    Given a counted connection to a daemon whose failure domain is not known
    When it sends the control message askKeys
    And the counts are read
    And the daemon's entry names the failure domain "hall-1"
    And it sends the control message askKeys
    Then control.askKeys has as many bytes to unknown as to same
    And the bytes of all kinds add up to what was written

  Scenario: A log line has what was sent since the previous one
    Given a counted connection to a daemon in the failure domain "hall-2"
    When it sends the control message askKeys
    And the time of 10 s passes
    And it sends the control message askKeys
    And it sends the control message askKeys
    And the time of 10 s passes
    And the time of 10 s passes
    Then the peer_traffic lines have 1 and then 2 frames of control.askKeys to other

  Scenario: The metric has the bytes by kind and distance
    Given a counted connection to a daemon in the failure domain "hall-2"
    When it sends the control message askKeys
    Then the metrics have pearward_peer_bytes_total of control.askKeys to other
