Feature: Time-outs and pipelining on a caller's connection

  Scenario: Headers that do not arrive in time close the connection, and the request has not run
    Given a caller's connection with a header time-out of 3 s
    When it sends the first half of a request's headers and nothing for 5 s
    Then it gets a 408 response and is closed, and no request has begun

  Scenario: A body may take longer than the header time-out
    Given a caller's connection with a header time-out of 3 s
    When it sends a request's headers, and its body in three parts at intervals of 2 s
    Then the request has begun, and its body is complete

  Scenario: A connection may be idle between two requests for longer than the header time-out
    Given a caller's connection with a header time-out of 3 s
    When it sends a request, gets a response, and sends another request after 10 s
    Then both requests have begun

  Scenario: Pipelined safe requests run concurrently and get their responses in order
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 3 safe requests
    Then 3 requests have begun
    When the requests get responses in the order 3, 1, 2
    Then the caller has received the responses 1, 2, 3 and nothing else

  Scenario: A streamed response is held back until the responses before it are complete
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 2 safe requests
    And the second request gets a response in chunks before the first one does
    Then the caller has received no byte
    When the first request gets a response
    Then the caller has received the first response and then the chunks

  Scenario: An unsafe request is not read until those before it have their responses
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 2 safe requests, an unsafe one and a safe one
    Then 2 requests have begun
    When the requests get responses in the order 2, 1
    Then 3 requests have begun
    When the unsafe request gets a response
    Then 4 requests have begun

  Scenario: A connection has no more requests in progress than its limit
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 40 safe requests
    Then 16 requests have begun
    When the requests get responses in the order 1, 2, 3
    Then 19 requests have begun

  Scenario: Requests after a response that closes the connection are not read
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 2 safe requests
    And the first request asks for the connection to be closed
    And it pipelines 2 safe requests
    Then 2 requests have begun
    When the requests get responses in the order 2, 1
    Then only response 2 announces that the connection closes, and it is closed

  # The connection was reset, and its caller lost the end of the response before: the kernel resets a
  # connection that is closed with unread data.
  Scenario: A connection that closes after a response reads on until its caller closes it
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 1 safe requests
    And the first request asks for the connection to be closed
    And the requests get responses in the order 1
    And it pipelines 2 safe requests
    Then 1 requests have begun
    And the connection is closed for sending only, and what its caller sends is read

  Scenario: A malformed request gets no response in place of an earlier one
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 2 safe requests
    And it sends a malformed request
    Then the caller has received no byte
    When the requests get responses in the order 1, 2
    Then the caller has received the responses 1, 2 and nothing else

  Scenario: All open requests of a caller that disconnects are notified
    Given a caller's connection with a header time-out of 3 s
    When it pipelines 3 safe requests
    And the second request gets a response and the caller disconnects
    Then 2 requests have been notified
