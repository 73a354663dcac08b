Feature: Calls run only under keys that a workspace holds

  Scenario Outline: A call without a valid key is refused, and it is never guessed
    Given the workspaces "red: k1 k2; blue: k3" in version 4, confirmed <age> ms ago
    When a call with the key "<key>" comes on a route that <route>
    Then the verdict is "<verdict>"

    Examples:
      | age  | key | route         | verdict     |
      | 100  | k1  | needs a key   | granted     |
      | 100  | k9  | needs a key   | unknown     |
      | 100  |     | needs a key   | unknown     |
      | 100  | k9  | is anonymous  | granted     |
      | 3000 | k1  | needs a key   | granted     |
      | 3000 | k9  | needs a key   | unconfirmed |
      | 3800 | k1  | needs a key   | unconfirmed |
      | 3800 | k9  | needs a key   | unconfirmed |
      | 3800 | k9  | is anonymous  | granted     |

  Scenario: A configuration without workspaces asks for no key
    Given no workspaces in version 4, confirmed 9000 ms ago
    When a call with the key "k1" comes on a route that needs a key
    Then the verdict is "granted"

  Scenario: A key that moves belongs to its new workspace at once
    Given the workspaces "red: k1 k2; blue: k3" in version 4, confirmed 0 ms ago
    When the workspaces become "red: k2; blue: k3 k1" in version 6
    Then "k1" belongs to "blue" and "k2" to "red"
    And a call that came with "k1" for "red" is not written

  Scenario: A version that changes one key leaves the others as they are
    Given 41000 workspaces with a key each in version 4
    When one of them loses its key and another one gets it
    Then the change takes less than 200 ms and all other keys are found

  Scenario: No key outlives its bound
    Then over all orders of reads, news of peers, suspensions and changes, no call is written later than the bound after its key was taken away

  Scenario: Faults of workspaces are listed together with their place
    Then workspaces with faults are reported as in the snapshot
