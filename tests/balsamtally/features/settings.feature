Feature: Operators check a daemon's settings before they start it

  Scenario: Good settings are printed without the key
    Given the variables
      | name                 | value                            |
      | BALSAMTALLY_VM       | entry-rocha-a-1                  |
      | BALSAMTALLY_LINK_KEY | 00112233445566778899aabbccddeeff |
    When I run the daemon with "--check-settings --plain-links --domain rocha-a --region uy-east"
    Then the exit code is 0
    And the output contains "vm = entry-rocha-a-1"
    And the output contains "link_key = (set)"
    And the output doesn't contain "00112233"

  Scenario: All faults are listed at once and nothing starts
    Given the variables
      | name                       | value          |
      | BALSAMTALLY_CALLER_ADDRESS | localhost:8080 |
      | BALSAMTALLY_GRACES         | 5              |
    When I run the daemon with "--domain rocha-a --region uy-east --max-requests many"
    Then the exit code is 2
    And the errors contain "vm: required; give --vm or BALSAMTALLY_VM"
    And the errors contain "caller_address: 'localhost:8080' is not an IP address and port"
    And the errors contain "BALSAMTALLY_GRACES: no such setting"
    And the errors contain "max_requests: 'many' is not int"
    And the errors contain "link_key: required"
    And the errors don't contain "Traceback"
