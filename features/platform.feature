Feature: Names, formats and calls of the users' platform

  Scenario: A configuration document becomes the product's routing table
    When the example document is read
    Then version 7 has a route for "/lepu270/2f" at "jepu9.example" with weights 90 and 10
    And the longer of two matching prefixes is used
    And a path or host without a route has no match

  Scenario Outline: An invalid document is refused with its field and value: <fault>
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

  Scenario: A heartbeat is read into keys, state and sequence number
    When the heartbeat of a target that holds keys and has released others is read
    Then it holds 0..4095 under fence 7 and has released 4096..8191 with a token

  Scenario: The response to a heartbeat has rows and the hold, or no keys
    Then a response that grants 0..4095 for 4 s is encoded as the platform's targets expect
    And a response that renews nothing has no rows

  Scenario Outline: A malformed heartbeat is refused: <body>
    When a heartbeat is read whose body is <body>
    Then it is refused

    Examples:
      | body                    |
      | []                      |
      | {"address":"a"}         |
      | {"status":{"sequence":1}} |

  Scenario: Headers that a caller may not set are replaced, all others are forwarded
    Given a request whose caller sets its own service, target and deadline
    Then the target gets each of these headers once, with pearward's value
    And the request's id and its other headers are forwarded unchanged

  Scenario Outline: Facts read from the headers of a target's response: <headers>
    When a response has the headers "<headers>"
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
    And every placeholder of the template is a field of the platform

  Scenario Outline: Settings are refused with their field and value if <fault>
    When the template is filled and <fault>
    Then the settings are refused with a message that names "<field>" and "<value>"

    Examples:
      | fault                      | field             | value   |
      | the callers' address is odd | listen.callers   | nowhere |
      | the service is missing      | target.service   | None    |
      | grants go by letter         | grants           | letter  |
      | the ratio is a text         | retries.ratio    | much    |
      | there is an unknown field   | surprise         | 1       |

  Scenario: The deploy file names files that exist in the repository
    Then every file that the deploy file names exists
    And the build needs only pinned libraries with hashes
    And no module in the platform folder shadows one of the standard library
