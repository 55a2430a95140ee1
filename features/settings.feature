Feature: All settings are checked before the daemon starts

  Scenario Outline: One line names the file, the key path and the value
    Given valid settings with "<path>" set to "<value>"
    When pearwardd checks them
    Then it ends with exit code 2 and one line that names the file, "<named>" and "<value>"

    Examples:
      | path                      | value         | named                     |
      | listen.peer_port          | many          | listen.peer_port          |
      | listen.peer_port          | 70000         | listen.peer_port          |
      | listen.admin_port         | 7401          | listen.admin_port         |
      | instance.failure_domain   | gyor-hall-2   | instance.failure_domain   |
      | instance.nickname         | bob           | instance.nickname         |
      | listen.ip                 | localhost     | listen.ip                 |
      | server.address            | 127.0.0.1     | server.address            |
      | server.address            | 127.9.0.1:7401 | server.address           |
      | lease.renew_s             | 0.9           | lease.renew_s             |
      | log.requests              | loud          | log.requests              |
      | limits.queue              | 0             | limits.queue              |

  Scenario: Valid settings are accepted
    Given valid settings with "limits.queue" set to "10"
    When pearwardd checks them
    Then it ends with exit code 0

  Scenario: A file that is not valid YAML
    Given a settings file with the text "listen: [1, 2"
    When pearwardd checks them
    Then it ends with exit code 2 and one line that names the file, "YAML" and "line"

  Scenario Outline: An invalid value in the settings of a daemon on a users' platform is named: <field>
    Given settings of a daemon on a users' platform with <field> set to <value>
    Then they are refused, naming <path> and the value

    Examples:
      | field    | value                 | path             |
      | grants   | "letter"              | grants           |
      | grants   | ""                    | grants           |
      | overload | {"without": ["none"]} | overload.without |
      | quarantine | {"lasts_s": 601}        | quarantine.lasts_s       |
      | quarantine | {"refused_after": -1}   | quarantine.refused_after |
      | quarantine | {"refused_after": "no"} | quarantine.refused_after |

  Scenario: Without a setting for grants, keys are granted by heartbeat
    Given settings of a daemon on a users' platform with grants set to null
    Then they are accepted, and keys are granted by heartbeat
