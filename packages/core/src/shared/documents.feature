Feature: Documents are checked with the place of every fault

  Scenario: All faults of a document are reported together
    Given a YAML document
      """
      name: depot
      prot: 7000
      mode: fsat
      limits:
        sise: 3
        depth: many
      hosts:
        - addr: 127.0.0.1
        - adress: 127.0.0.2
      """
    Then the findings of the document match the snapshot

  Scenario: Faults of the syntax are reported without quoting the text
    Given a YAML document
      """
      name: a
      name: b
      secret: "hush
      """
    Then the findings of the document match the snapshot

  Scenario: A valid document gets its defaults and passes on to cross-checks
    Given a YAML document
      """
      {"name": "depot", "port": 7000, "limits": {"size": 3, "depth": 1}, "hosts": []}
      """
    Then the findings of the document match the snapshot

  Scenario Outline: Hostile documents are refused
    Given a hostile document "<kind>"
    Then the findings of the document match the snapshot

    Examples:
      | kind          |
      | alias bomb    |
      | deep nesting  |
      | two documents |
      | empty         |
      | too long      |
