@mesh
Feature: Requests that crash the targets that run them

  Scenario: The logs say what a target was running when it ended
    When an "unsafe" request crashes its target of the pooled service while another one runs there
    Then the daemon of that target reports both as running when it ended

  Scenario: A request stays refused when operators move its route to another service
    Given a route "/moved/" to the pooled service
    When a request on it has crashed three targets and its route is moved to the keyed service
    And it is sent twice more to every daemon
    Then no target has received it since
    And each of its callers was refused and told when to retry

  # Guards against a request that crashes one target after another. Its caller sends it repeatedly,
  # each time under a new id and often to another daemon. If each daemon treats it as a new request,
  # every target that starts to run it ends (eight of one service within 15 s), and requests for
  # their keys are refused for that time. The event target_crashed names the same content at each
  # crash, and each id arrives only once, so that the daemons' own retries are not the cause.
  Scenario Outline: After three targets have crashed under a request it reaches no other one: <service>
    When a "<kind>" request to the <service> service has crashed three targets and 3 s have passed
    And it is sent twice more to every daemon
    Then no target has received it since
    And each of its callers was refused and told when to retry
    And every daemon serves other requests of the <service> service

    Examples:
      | service | kind   |
      | pooled  | safe   |
      | pooled  | unsafe |
      | keyed   | safe   |
