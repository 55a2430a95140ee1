Feature: The users' platform's names, formats and calls

  Scenario: A configuration document becomes the product's routing table
    When the example document is read
    Then version 7 has a route for "/lepu270/2f" at "jepu9.example" with parts of 90 and 10
    And the longest of two prefixes wins
    And a path of no route has none

  Scenario Outline: A document that cannot be acted on is refused by field and value: <fault>
    When the example document is read with <fault>
    Then it is refused with a message that names "<field>" and "<value>"

    Examples:
      | fault                           | field      | value   |
      | an odd kind                     | kind       | sometimes |
      | an unknown service              | service    | nobody  |
      | a prefix without its last slash | pathPrefix | /lepu270 |
      | a version without its mark      | version    | 7       |
      | no weight at all                | weightedServices | weight |
      | a time-out below one            | timeoutMs  | 0       |

  Scenario: A heartbeat is read into keys, state and order
    When the heartbeat of a target that holds and has let go keys is read
    Then it holds 0..4095 under fence 7 and let 4096..8191 go with a token

  Scenario: The answer to a heartbeat carries rows and the hold, or says nothing of keys
    Then an answer that grants 0..4095 for 4 s is written as the platform's targets expect
    And an answer that renews nothing has no rows

  Scenario Outline: A heartbeat that makes no sense is refused: <body>
    When a heartbeat is read whose body is <body>
    Then it is refused

    Examples:
      | body                    |
      | []                      |
      | {"address":"a"}         |
      | {"status":{"sequence":1}} |

  Scenario: Headers that a caller may not set are replaced, all others pass
    Given a request whose caller sets its own service, target and deadline
    Then the target gets each of them once, as pearward sets them
    And the request's id and its other headers pass unchanged

  Scenario Outline: What a target's answer says of itself: <headers>
    When an answer has the headers "<headers>"
    Then it is read as <meaning>

    Examples:
      | headers                                     | meaning            |
      | Request-Id: a; Server-Signature: s          | signed             |
      | Request-Id: a                               | not signed         |
      | Request-Id: a; Not-Executed: 1              | not run            |
      | Instance-Id: i-1                            | of another target  |
      | Request-Id: a; Content-Encoding: gzip       | encoded            |
      | Request-Id: a; Server-Load: 3,0,8           | running 3 of 8     |

  Scenario: The settings template gives settings that the daemon accepts
    When the template is filled as the platform fills it
    Then the settings name the instance, the store and every address
    And every gap of the template is a field that the platform has

  Scenario Outline: Settings with <fault> are refused by field and value
    When the template is filled and <fault>
    Then the settings are refused with a message that names "<field>" and "<value>"

    Examples:
      | fault                      | field             | value   |
      | the callers' address is odd | listen.callers   | nowhere |
      | the service is missing      | target.service   | None    |
      | grants go by letter         | grants           | letter  |
      | the ratio is a text         | retries.ratio    | much    |
      | there is an unknown field   | surprise         | 1       |

  Scenario: The deploy file names what is in the repository
    Then every file that the deploy file names is there
    And the build needs only pinned libraries with hashes
    And no module of the platform's folder hides one of the standard library
