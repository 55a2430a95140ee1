@cluster.patient.pooled @proxied
Feature: A request from any daemon to its server and back

  Scenario: Every daemon serves every service
    When each daemon gets requests for 20 keys of "roster-app"
    And each daemon gets 10 requests for "paypost"
    Then every response is served, complete and matches its request
    And all runs of a key were at one server

  Scenario: The response names the owner's address for callers
    When "GET" for key "crew-1" of "roster-app" is sent to the first daemon
    And the same request is sent to the owner that the response names
    Then every response is served, complete and matches its request
    And the last response names the daemon that sent it

  Scenario Outline: A bad request gets a clear error and is not run
    When "<method>" for key "<key>" of "<service>" is sent with "<header>" set to "<value>"
    Then the response is <status> "not-run" because of "<reason>"

    Examples:
      | method | key    | service    | header               | value  | status | reason          |
      | GET    |        | roster-app | X                    | y      | 400    | bad-request     |
      | GET    | crew-1 | nowhere    | X                    | y      | 404    | unknown-service |
      | GET    | crew-1 | roster-app | Pearward-Class       | best   | 400    | bad-request     |
      | GET    | crew-1 | roster-app | Pearward-Deadline-Ms | -5     | 400    | bad-request     |
      | GET    | crew-1 | roster-app | Pearward-Repeatable  | maybe  | 400    | bad-request     |

  Scenario: Headers over the limit are refused
    When a request with 9000 bytes of headers is sent to the first daemon
    Then the connection gets a 400 response or is closed
    And "GET" for key "crew-1" of "roster-app" is served afterwards

  Scenario: Garbage on the peer port harms nobody
    When a long download from "paypost" is under way
    And garbage is sent to the peer port of every daemon
    And another version's greeting is sent to the peer port of every daemon
    Then the download is complete and matches its request

  # After a pause each daemon took its own standstill for the silence of its peers and aborted the
  # connections on which it expected data, before it read what had arrived.
  Scenario: A pause of all daemons at the same time cuts no download
    When a long download from "paypost" is under way
    And every daemon stands still for 2 seconds
    Then the download is complete and matches its request

  Scenario: A request whose body is cut short never runs
    When a caller announces a body of 200000 bytes to "paypost" and disconnects after 100000
    And a caller announces a body of 2000 bytes to "paypost" and disconnects after 1000
    Then no request of these callers has run

  Scenario: A long request body and a long response are streamed
    When 3000000 bytes are posted to "paypost" through the first daemon
    And 20000000 bytes are fetched from "paypost" through each daemon
    Then every response is served, complete and matches its request

  Scenario: A response that the server truncates is never taken for complete
    When a response of 5000000 bytes from "paypost" is truncated after 2000000
    Then the response is truncated

  Scenario: A short response that the server truncates has the outcome unknown
    When a response of 9000 bytes from "paypost" is truncated after 4000, not repeatable
    Then the response is 502 "unknown" because of "server-failed"

  Scenario: A deadline that passes at the server gives an immediate response with the outcome unknown
    When "POST" to "paypost" that runs 3000 ms has a deadline of 300 ms
    Then the response is 504 "unknown" because of "deadline"
    And the response arrived within 2000 ms

  Scenario: A request that is not repeatable runs once, however often it is sent
    When "POST" with one id is sent to key "crew-9" of "roster-app" through each daemon
    Then one response is served and the others are "already-run"
    And the request with that id ran once

  Scenario: An id seen before the owner's grant is never run
    When "POST" to key "crew-9" of "roster-app" states an age of 3600000 ms
    Then the response is 502 "unknown" because of "first-seen-before-grant"

  Scenario: A caller that disconnects cancels its request along the path
    When a caller disconnects during a request of 5000 ms at "paypost"
    Then no request runs or waits at any daemon

  Scenario: One task id joins the logs of both daemons
    When "GET" for key "crew-1" of "roster-app" is sent to a daemon that does not own it
    Then the logs of two daemons share that request's task id

  Scenario: Metrics are labelled with service, class and tenant
    When "GET" for key "crew-1" of "roster-app" is sent with "Pearward-Tenant" set to "halas-kft"
    Then the metrics of the first daemon have a histogram for tenant "halas-kft"
