Feature: Hostile and broken input

  More seeds: FUZZ_SEED=7 FUZZ_RUNS=5000 before the command that runs this file.

  Scenario: Broken bundles give findings with places
    Then no bundle with random faults crashes the check

  Scenario: Text that is no document gives findings
    Then no random text crashes the check of a bundle

  Scenario: Entries of the log with random faults are folded or skipped
    Then no entry with random faults stops a fold, and its state stays plain data

  Scenario: Folds do not depend on how names look
    Then records with names such as "__proto__" fold like others

  Scenario: Checkpoints with random faults are taken or left
    Then no checkpoint with random faults crashes its reader

  Scenario: Signatures of broken bundles never hold
    Then no changed bundle, signature or key verifies

  Scenario: Service-level records with random faults
    Then no summary with random faults crashes the report
