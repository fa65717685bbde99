Feature: Operators write, check and compare change tickets

  Background:
    Given a folder with the example tickets of "medanos-libres"

  Scenario: Good tickets pass together
    When I run "ticket check 1-domains.json 2-classes.json 3-models.json 4-services.json 5-customers.json 6-policy.json"
    Then the exit code is 0
    And the output doesn't contain "warning"

  Scenario: Every fault is listed with its path
    Given the file "bad.json" is "5-customers.json" with:
      | from                         | to                          |
      | "number": 5                  | "number": 50                |
      | "name": "arenas-del-este"    | "name": 7                   |
      | "name": "faro-rides"         | "nom": "faro-rides"         |
    When I run "ticket check bad.json 1-domains.json"
    Then the exit code is 1
    And the output contains "bad.json: $.objects[0].name: Expected `str`, got `int`"
    And the output contains "bad.json: $.objects[3].name: is missing"
    And the output contains "bad.json: $.objects[3]: unknown field 'nom'"
    And the output contains "1-domains.json: good"

  Scenario: Dangling references are warnings
    When I run "ticket check 3-models.json --tickets 2-classes.json"
    Then the exit code is 0
    And the output contains "warning: backend 'model-rocha-a-1': domain: no domain 'rocha-a'"

  Scenario: A number that is too low changes nothing
    Given the file "old.json" is "5-customers.json" with:
      | from        | to          |
      | "number": 5 | "number": 4 |
    When I run "ticket check old.json --tickets 5-customers.json"
    Then the exit code is 0
    And the output contains "warning: customer 'buggy-cabo' is unchanged: ticket 5 is after 4"

  Scenario: An edited ticket is compared by object and field
    Given the file "edited.json" is "5-customers.json" with:
      | from          | to            |
      | "number": 5   | "number": 7   |
      | "weight": 4.0 | "weight": 2.5 |
    When I run "ticket diff 5-customers.json edited.json --json"
    Then the exit code is 0
    And the JSON output is
      """
      [{"kind": "customer", "name": "arenas-del-este", "field": "weight", "before": 4.0, "after": 2.5}]
      """

  Scenario: A ticket is compared with what a daemon holds
    Given a daemon that holds the tickets "1-domains.json 3-models.json"
    And the file "edited.json" is "3-models.json" with:
      | from           | to             |
      | "number": 3    | "number": 9    |
      | "slots": 8     | "slots": 12    |
    When I run "ticket diff edited.json --daemon DAEMON"
    Then the exit code is 0
    And the output contains "backend  model-rocha-a-1  slots  8       12"

  Scenario: A new ticket starts from the present state
    When I run "ticket new backend/model-poa-a-1 customer/new --author ana --tickets 3-models.json --output new.json"
    And I run "ticket show new.json"
    Then the exit code is 0
    And the output contains "ticket 4 by ana"
    And the output contains "127.0.0.1:19005"

  Scenario: An existing file is never overwritten
    When I run "ticket new customer/new --author ana --output 1-domains.json"
    Then the exit code is 2
    And the errors contain "1-domains.json: File exists"

  Scenario: A new API key and its hash go together
    When I run "key new --json"
    Then the exit code is 0
    And the hash is that of the key
