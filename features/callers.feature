Feature: What a caller's connection may take

  Scenario: Headers that do not come in time end the connection, and the request has not run
    Given a caller's connection whose headers may take 3 s
    When it sends the first half of a request's headers and nothing for 5 s
    Then it is answered 408 and closed, and no request has begun

  Scenario: A body may take longer than the headers
    Given a caller's connection whose headers may take 3 s
    When it sends a request's headers, and its body in three parts of 2 s
    Then the request has begun, and its body is whole

  Scenario: A connection may rest between two requests for longer than headers may take
    Given a caller's connection whose headers may take 3 s
    When it sends a request, is answered, and sends another after 10 s
    Then both requests have begun
