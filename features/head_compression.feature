Feature: Heads and control messages between daemons are compressed

  # Heads of requests were a fifth of the bytes between failure domains, and most of each repeats the
  # one before it.
  Scenario: Successive heads take a third of their bytes at most, and arrive unchanged
    Given two ends that compress
    When 50 requests of one route with different ids and keys are sent and responded to
    Then each request and each response arrives as it was sent
    And the heads take at most 0.33 of the bytes that they take without compression

  Scenario Outline: Daemons that compress and daemons that do not understand each other
    Given <requester>, and <responder>
    When 5 requests of one route with different ids and keys are sent and responded to
    Then each request and each response arrives as it was sent
    And no frame is compressed

    Examples:
      | requester              | responder              |
      | an end that compresses | an end that does not   |
      | an end that does not   | an end that compresses |

  # All payloads share one window: a response that is ignored because its stream was cancelled must
  # still be decompressed, or every later one is unreadable.
  Scenario: The response to a cancelled request does not disturb the later ones
    Given two ends that compress
    When a request is cancelled while its response is in transit
    And 5 requests of one route with different ids and keys are sent and responded to
    Then each request and each response arrives as it was sent

  Scenario: A body is not compressed, and arrives unchanged with its head
    Given two ends that compress
    When a request with a body of 5000 random bytes is sent
    Then its body arrives unchanged
    And its frame has at least 5000 bytes

  Scenario: Control messages arrive in the order of sending, between heads
    Given two ends that compress
    When 20 control messages are sent, each followed by a request
    Then the control messages and requests arrive as they were sent

  Scenario Outline: A compressed payload that cannot be read ends the connection
    Given two ends that compress
    When a control message arrives whose payload is <payload>
    Then the connection is refused as invalid

    Examples:
      | payload                                       |
      | not compressed data                           |
      | more than 2 MiB after decompression           |
      | the end of a compressed stream                |

  Scenario: A compressed payload from a peer that was not told so ends the connection
    Given an end that does not, and an end that compresses
    When a compressed control message arrives at the end that does not
    Then the connection is refused as invalid
