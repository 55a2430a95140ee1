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
