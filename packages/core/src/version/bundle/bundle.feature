Feature: Bundles are checked, signed, compared and merged

  Scenario Outline: The example bundle of <fleet> is valid
    Given the example bundle of "<fleet>"
    When it is written as YAML and checked
    Then the checked bundle equals the example
    And the bundle's text matches the snapshot

    Examples:
      | fleet       |
      | calderas    |
      | association |

  Scenario: Parts that contradict each other are all found
    Given the example bundle of "association"
    And the bundle's text with these replacements
      | from                    | to                       |
      | parent: 0               | parent: 3                |
      | name: engine-2          | name: engine-1           |
      | failure_domain: sapporo | failure_domain: saporo   |
      | 192.0.2.3:7000          | desk.example:7000        |
      | prefill_floor: 1        | prefill_floor: 9         |
      | - contract-reader       | - contract-raeder        |
      | group: vans             | group: van               |
      | name: hakodate          | name: sapporo            |
    Then the bundle's findings match the snapshot

  Scenario: Only a trusted key signs off
    Given the example bundle of "calderas"
    And a signing key named "ops"
    When the key signs the bundle
    Then the signature holds for that key
    But it fails when the bundle, the key's name, the key or the signature differs

  Scenario: Keys in PEM serve as well
    Given the example bundle of "calderas"
    And a signing key in PEM named "ops"
    When the key signs the bundle
    Then the signature holds after writing and parsing

  Scenario: A signature survives the way through JSON
    Given the example bundle of "calderas"
    And a signing key named "ops"
    When the key signs the bundle
    Then the signature holds after writing and parsing

  Scenario: Changes are listed by item and field
    Given the example bundle of "calderas"
    And a changed copy of it
    Then the changes match the snapshot

  Scenario: A rebase keeps the changes of both operators
    Given the example bundle of "calderas"
    When one operator raises the model's version and another adds an adapter and removes a caller
    Then the rebased bundle holds both changes

  Scenario: A rebase reports what both operators changed
    Given the example bundle of "calderas"
    When two operators set the model's version differently
    Then the conflicts match the snapshot

  Scenario: A rollback is a new version with old content
    Given the example bundle of "calderas"
    And a changed copy of it
    Then the rollback differs from the example only in version, parent, author and note

  Scenario: The reference page of bundles is the schema's own
    Then docs/BUNDLE.md is written from the bundle's schema
