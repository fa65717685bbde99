Feature: Operators ask daemons and drain backend servers

  Background:
    Given a folder with the example tickets of "medanos-libres"
    And a daemon that holds the tickets "1-domains.json 3-models.json"

  Scenario: A drain ticket holds the whole new state of the backend server
    When I run "drain model-mvd-a-1 --author ana --daemon DAEMON --output drain.json"
    And I run "ticket diff drain.json --daemon DAEMON --json"
    Then the exit code is 0
    And the JSON output is
      """
      [{"kind": "backend", "name": "model-mvd-a-1", "field": "leaving", "before": false, "after": true}]
      """

  Scenario: An unknown backend server can't be drained
    When I run "drain model-x --author ana --daemon DAEMON"
    Then the exit code is 1
    And the errors contain "error 4004: no backend server 'model-x' in force"

  Scenario: The state names each object's ticket
    When I run "state --kind domain --daemon DAEMON"
    Then the exit code is 0
    And the output contains "domain  rocha-a  1"

  Scenario: Refused tickets and conflicts are faults
    Given the daemon refused a ticket "balsamtally/tickets/8" since "number: must be 1 or more"
    When I run "state --daemon DAEMON"
    Then the exit code is 1
    And the output contains "refused: balsamtally/tickets/8: number: must be 1 or more"

  Scenario: A decision is explained
    Given the daemon decided "granted" for "r?17" with runner "model-mvd-a-1"
    When I run "explain r?17 --daemon DAEMON"
    Then the exit code is 0
    And the output contains "granted  runner=model-mvd-a-1"

  Scenario: A request without a decision is a fault with advice
    When I run "explain r/18 --daemon DAEMON"
    Then the exit code is 1
    And the errors contain "ask the VM that took it"

  Scenario: Members, backend servers and queues are tables
    When I run "vms --daemon DAEMON"
    Then the exit code is 0
    And the output contains "name"
    When I run "queues --daemon DAEMON"
    Then the exit code is 0
    And the output contains "none"

  Scenario: A daemon that isn't there
    When I run "state --daemon 127.0.0.1:1"
    Then the exit code is 3
    And the errors contain "error 5005: the daemon at 127.0.0.1:1 is not in reach"
