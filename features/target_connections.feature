Feature: Connections to the local target tell the sends of one request apart

  # A late second copy of a refusal was taken for the response to the next send of the request, and
  # callers got 503 for requests that ran.
  Scenario Outline: A second copy of a response is not taken for the response to the next send: <response>
    Given a daemon that has sent a request to its target and got the response "<response>"
    When it sends the request again, and the second copy of that response arrives
    Then the second send has no response yet
    When the target responds to the second send with 200
    Then the second send gets that response

    Examples:
      | response          |
      | 503, not executed |
      | 429, not executed |
      | 421, not executed |
      | 421, other target |
      | 503               |
      | 500               |

  Scenario: Each send of a request has a connection of its own
    Given a daemon that has sent a request to its target and got the response "503, not executed"
    When it sends the request 2 times more, each after the refusal of the one before
    Then its 3 sends were made on 3 connections
    And other requests are sent on the same connections

  # Surplus responses are told apart by the id, and what follows them is still read.
  Scenario: A second copy that arrives during another request is skipped
    Given a daemon that has sent a request to its target and got the response "503, not executed"
    When it sends another request, and the second copy of that response arrives
    And the target responds to the other request with 200
    Then the other request gets that response
    And the log names the id of the skipped response and the connection

  # Without an id it may be the response to an earlier request.
  Scenario Outline: A refusal without an id does not show that a request has not run: <status>
    Given a daemon that has sent a request to its target
    When the target responds with <status>, that it was not executed, and without an id
    Then it is unknown whether the request has run, and the connection is closed

    Examples:
      | status |
      | 503    |
      | 421    |

  # Guards against callers that get a target's bytes as an answer although they are none, such as a
  # status of 000, or with another status or length than the target gave.
  Scenario Outline: A head that is not valid in HTTP is no response: <line>
    Given a daemon that has sent a request to its target
    When the target sends a response with the line "<line>"
    Then it is unknown whether the request has run, and the connection is closed

    Examples: status lines
      | line               |
      | HTTP/1.1 000 Fine  |
      | HTTP/1.1 0 Fine    |
      | HTTP/1.1 20 Fine   |
      | HTTP/1.1 2000 Fine |
      | HTTP/1.1 +200 Fine |
      | HTTP/1.1 -200 Fine |
      | HTTP/1.1 2_00 Fine |
      | HTTP/1.1 20_0 Fine |
      | HTTP/1.1 099 Fine  |
      | HTTP/1.1 600 Fine  |
      | HTTP/1.1 999 Fine  |
      | HTTP/1.1 2٠٠ Fine  |
      | HTTP/1.1  200 Fine |
      | HTTP/1.1\t200 Fine |
      | HTTP/1.1 200Fine   |
      | HTTP/1.10 200 Fine |
      | HTTP/1. 200 Fine   |
      | HTTP/1.x 200 Fine  |
      | HTTP/2 200 Fine    |
      | http/1.1 200 Fine  |

    Examples: headers
      | line                           |
      | Content-Length: +0             |
      | Content-Length: -0             |
      | Content-Length: 0_0            |
      | Content-Length: 0x0            |
      | Content-Length: ٠              |
      | Content-Length:                |
      | Content-Length: 0, 0           |
      | Content-Length: 1              |
      | Content-Length: 99999999999999999999 |
      | Name with blanks: 1            |
      | Name : 1                       |
      | : 1                            |
      | no colon                       |
      | Cut: a\rServer-Signature: b    |
      | Nul: a\0b                      |

  Scenario Outline: A valid head is a response: <line>
    Given a daemon that has sent a request to its target
    When the target sends a response with the line "<line>"
    Then the request gets a response with status <status>

    Examples:
      | line                 | status |
      | HTTP/1.1 200         | 200    |
      | HTTP/1.0 200 Fine    | 200    |
      | HTTP/1.1 299 a b: c  | 299    |
      | HTTP/1.1 599 Unusual | 599    |
      | Content-Length: 0    | 200    |
      | X-Empty:             | 200    |

  # Guards against memory that grows, and connections that are read, for as long as a target in trouble
  # sends bytes.
  Scenario Outline: A head without end is given up after 64 KiB: <bytes>
    Given a daemon that has sent a request to its target
    When the target sends a head of <bytes> without end
    Then the daemon closes the connection before it has received 80000 bytes
    And it is unknown whether the request has run, and the connection is closed

    Examples:
      | bytes                    |
      | folded lines             |
      | Connection headers       |
      | Trailer headers          |
      | Keep-Alive headers       |
      | headers                  |
      | interim responses        |
      | surplus responses        |
      | one line                 |
      | empty lines              |

  # Guards against responses that go on past the route's time for as long as callers take them.
  Scenario Outline: A body of unknown length ends at the deadline: <framing>
    Given a daemon that has sent a request to its target
    When the target sends a body without end, <framing>
    Then the response is broken off 8 s after the request, and the connection is closed

    Examples:
      | framing                 |
      | in chunks               |
      | ended by the close      |

  Scenario Outline: A call's response without end is given up: <call>
    Given a target to which a <call> call was made
    When the target sends a body without end to it
    Then the daemon closes the connection before it has received 100000 bytes
    And the call has failed

    Examples:
      | call    |
      | grant   |
      | release |

  Scenario: A body of a known length is completed after the deadline
    Given a daemon that has sent a request to its target
    When the target sends a body of 400000 bytes, 30000 every second
    Then the response is complete

  Scenario: A connection keeps the ids of its requests only while they may be sent again
    Given a connection that has carried 1000 requests, one every 0.01 s, with deadlines of 1.5 s
    Then it keeps between 150 and 152 ids

  # Responses to these calls carry no id. Keys that count as released, or as not granted, are given to
  # another target.
  Scenario Outline: A second copy of a response is not taken for the response to the next call: <first> <response>, <next>
    Given a target that has responded to a <first> call with <response>
    When a <next> call is made, and the second copy of that response arrives
    Then the <next> call does not count as <outcome>
    But the call ends as <outcome> once the target responds with <later>

    Examples:
      | first   | response | next    | outcome  | later |
      | grant   | 200      | release | released | 200   |
      | release | 200      | release | released | 200   |
      | grant   | 409      | grant   | refused  | 409   |
