Feature: The daemon checks its settings before anything starts

  Scenario: The example in the repository is valid
    When the daemon checks "examples/settings.yaml" with a peer key in its environment
    Then the daemon's check ends with 0

  Scenario: All faults are reported together with their places
    Given daemon settings with a misspelt key, a port out of range and no signing key
    When the daemon checks them with a peer key in its environment
    Then the daemon's check ends with 2
    And the findings of the check match the snapshot

  Scenario: A secret that the environment lacks is found
    When the daemon checks "examples/settings.yaml" without a peer key
    Then the daemon's check ends with 2
    And the findings of the check match the snapshot

  Scenario: io_uring is refused
    When the daemon is asked to run "examples/settings.yaml" with io_uring turned on
    Then the daemon's check ends with 2
    And the findings of the check match the snapshot
