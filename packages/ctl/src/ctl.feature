Feature: The operators' command line

  Background:
    Given an operator's directory with settings, keys and a fleet's log

  Scenario: From an example to a bundle in force
    When the operator runs
      """
      bundle init association --out bundle.yaml
      bundle check bundle.yaml
      bundle sign bundle.yaml --key-file ops.key --out bundle.signed
      bundle publish bundle.signed --yes
      bundle status
      bundle history
      """
    Then the operator's session matches the snapshot

  Scenario: What changes the fleet is confirmed
    Given version 1 was published
    And a signed change of it
    When the operator runs
      """
      bundle publish change.signed
      """
    And the operator declines and runs
      """
      bundle publish change.signed
      """
    And the operator agrees and runs
      """
      bundle publish change.signed
      """
    Then the operator's session matches the snapshot

  Scenario: An operator who lost a race is told to whom and how to go on
    Given version 1 was published
    And a signed change of it
    And another operator publishes a different change first
    When the operator runs
      """
      bundle publish change.signed --yes
      bundle diff change.yaml
      bundle rebase change.yaml --out rebased.yaml
      bundle sign rebased.yaml --key-file ops.key --out rebased.signed
      bundle publish rebased.signed --yes
      bundle history
      """
    Then the operator's session matches the snapshot

  Scenario: A race that is lost between the check and the append
    Given version 1 was published
    And a signed change of it
    And another operator publishes a different change just before the next append
    When the operator runs
      """
      bundle publish change.signed --yes
      """
    Then the operator's session matches the snapshot

  Scenario: A rollback publishes old content as a new version
    Given version 1 was published
    And another operator publishes a different change first
    When the operator runs
      """
      bundle rollback 1 --yes --key-file ops.key --note too-slow
      bundle diff 1 3
      bundle diff 2 3
      bundle rollback 9 --yes --key-file ops.key
      """
    Then the operator's session matches the snapshot

  Scenario: An unreachable log changes nothing and ends with 1
    Given version 1 was published
    And a signed change of it
    And the log refuses reads
    When the operator runs
      """
      bundle status
      bundle publish change.signed --yes
      """
    Then the operator's session matches the snapshot

  Scenario: An answer that was lost is settled by reading back
    Given version 1 was published
    And a signed change of it
    And the log loses the next answer to an append
    When the operator runs
      """
      bundle publish change.signed --yes
      """
    Then the operator's session matches the snapshot

  Scenario: An append that stays unconfirmed is said to be unknown
    Given version 1 was published
    And a signed change of it
    And the log goes silent at the next append
    When the operator runs
      """
      bundle publish change.signed --yes
      """
    Then the operator's session matches the snapshot

  Scenario: Bad input ends with 2 and a message
    When the operator runs
      """
      bundle init nowhere
      bundle check missing.yaml
      bundle check broken.yaml
      bundle publish broken.yaml
      bundle sign broken.yaml
      burn --window soon
      rollout resume drafting
      bundle status --settings broken.yaml
      """
    Then the operator's session matches the snapshot

  Scenario: The fleet's state as tables
    Given version 1 was published
    And a fleet with leases, a drain and orders of every stage
    When the operator runs
      """
      instances
      endpoints
      orders
      orders --all
      rollout
      rollout resume drafting --yes
      rollout
      calls
      """
    Then the operator's session matches the snapshot

  Scenario: What the log no longer keeps comes from checkpoints or a file
    Given version 1 was published
    And a fleet with leases, a drain and orders of every stage
    And another operator publishes a different change first
    And both streams were checkpointed and the records before it have expired
    When the operator runs
      """
      calls
      bundle status
      bundle show 1
      bundle rollback 1 --yes --key-file ops.key
      bundle rollback first.yaml --yes --key-file ops.key
      """
    Then the operator's session matches the snapshot

  Scenario: Every view has JSON
    Given version 1 was published
    And a fleet with leases, a drain and orders of every stage
    When the operator runs
      """
      bundle status --json
      bundle history --json
      bundle diff 1 --json
      instances --json
      endpoints --json
      orders --json
      rollout --json
      calls --json
      burn --json
      """
    Then every printed result is JSON

  Scenario: Service levels with a plot
    Given version 1 was published
    And service-level summaries of the last hour
    When the operator runs
      """
      burn --window 1h --html burn.html
      """
    Then the service-level tables name the causes, callers and gaps
    And the page holds a plot of the objectives

  Scenario: Keys are created without being printed
    When the operator runs
      """
      keys signing new.key
      keys caller shop.key
      keys signing new.key
      """
    Then the key files are their owner's alone and nothing printed holds a key

  Scenario: The program's own exit codes
    Then the program ends with 2 on unknown commands and flags
    And the program ends with 1 when the log service cannot be reached
