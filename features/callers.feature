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

  Scenario: Safe requests behind one another run side by side and are answered in their order
    Given a caller's connection whose headers may take 3 s
    When it sends 3 safe requests behind one another
    Then 3 requests have begun
    When the answers come in the order 3, 1, 2
    Then the caller has read the answers 1, 2, 3 and nothing else

  Scenario: A streamed answer waits for its turn as a whole
    Given a caller's connection whose headers may take 3 s
    When it sends 2 safe requests behind one another
    And the second is answered in chunks before the first is
    Then the caller has read no byte
    When the first is answered
    Then the caller has read the first answer and then the chunks

  Scenario: A request that is not safe waits, unread, for those before it
    Given a caller's connection whose headers may take 3 s
    When it sends 2 safe requests, an unsafe one and a safe one behind one another
    Then 2 requests have begun
    When the answers come in the order 2, 1
    Then 3 requests have begun
    When the unsafe one is answered
    Then 4 requests have begun

  Scenario: No more requests of one connection are under way than its limit
    Given a caller's connection whose headers may take 3 s
    When it sends 40 safe requests behind one another
    Then 16 requests have begun
    When the answers come in the order 1, 2, 3
    Then 19 requests have begun

  Scenario: What stands behind an answer that ends the connection has not been read
    Given a caller's connection whose headers may take 3 s
    When it sends 2 safe requests behind one another
    And the first asks for the connection to end
    And it sends 2 safe requests behind one another
    Then 2 requests have begun
    When the answers come in the order 2, 1
    Then only the answer 2 says that the connection ends, and it has ended

  Scenario: What cannot be read gets no answer in another's place
    Given a caller's connection whose headers may take 3 s
    When it sends 2 safe requests behind one another
    And it sends bytes that are no request
    Then the caller has read no byte
    When the answers come in the order 1, 2
    Then the caller has read the answers 1, 2 and nothing else

  Scenario: A caller that leaves is noticed by all its requests
    Given a caller's connection whose headers may take 3 s
    When it sends 3 safe requests behind one another
    And the second is answered and the caller leaves
    Then 2 requests have been told so
