Feature: Workspaces get fair shares of too little room, over all instances

  Scenario Outline: Each gets what it asks for, up to a level that is the same for all
    Given workspaces that ask for "<demands>"
    When they share a room of <room>
    Then each may have up to "<level>"

    Examples:
      | demands     | room | level    |
      | 1 2 3       | 6    | Infinity |
      | 1 2 30      | 9    | 6        |
      | 10 10 10 10 | 20   | 5        |
      | 1 50 50     | 21   | 10       |

  Scenario: Shares are max-min for any demands
    Then shares of random demands are max-min within 10 in 100

  Scenario Outline: A flood from one workspace costs the others little
    Given <instances> instances, of whose digests <lost> in 100 are lost
    And room for 1000 calls a second, of which 40 workspaces ask for 800
    When the workspaces call for 3 s
    And one more workspace asks for 30 times its share, at <seat>, and repeats refused calls at once
    Then from 2 s on the others get at least 95 in 100 of what they got before
    And the flood gets between 100 and 240 calls a second

    Examples:
      | instances | lost | seat          |
      | 1         | 0    | one instance  |
      | 3         | 20   | one instance  |
      | 3         | 20   | all instances |
      | 67        | 30   | one instance  |
      | 67        | 30   | all instances |
      | 300       | 30   | one instance  |
      | 300       | 30   | all instances |

  Scenario: Large workspaces that all ask for too much get the same
    Given 20 instances, of whose digests 20 in 100 are lost
    And room for 1000 calls a second, of which 10 workspaces ask for 100
    When 6 workspaces at all instances ask for 200 to 700 calls a second
    Then those get the same within 10 in 100, and the others all that they ask for

  Scenario: Nothing is refused for shares, and nothing is told, while there is room
    Given 3 instances, of whose digests 0 in 100 are lost
    And room for 1000 calls a second, of which 40 workspaces ask for 200
    When one more workspace asks for 30 times its share, with enough room
    Then no call was refused for a share, and digests told of no demand

  Scenario: After the flood nothing is refused for shares
    Given 3 instances, of whose digests 20 in 100 are lost
    And room for 1000 calls a second, of which 40 workspaces ask for 800
    When one more workspace asks for 30 times its share, at all instances, and repeats refused calls at once
    And the workspaces call for 4 s
    Then no call was refused for a share in the last second

  Scenario: Times to come back are spread
    Given 3 instances, of whose digests 0 in 100 are lost
    And room for 1000 calls a second, of which 40 workspaces ask for 800
    When one more workspace asks for 30 times its share, at all instances, and repeats refused calls at once
    Then no tenth of a second is told to more than 10 in 100 of the refused calls

  Scenario: Reports from 41000 workspaces stay bounded
    Given 1 instances, of whose digests 0 in 100 are lost
    And room for 1000 calls a second, of which 0 workspaces ask for 0
    When 41000 workspaces send one call each
    Then a digest names at most 16 of them

  Scenario Outline: A service has places left while most endpoints are half free
    When endpoints of 4 places have "<calls>" calls and "<tokens>" prompt tokens to compute
    Then places are <left>

    Examples:
      | calls | tokens | left     |
      | 1 1 1 | 0 0 0  | left     |
      | 1 1 4 | 0 0 0  | left     |
      | 1 2 4 | 0 0 0  | not left |
      | 1 1 1 | 0 5 5  | not left |

  Scenario: What a peer tells that is no figure is ignored
    Given 1 instances, of whose digests 0 in 100 are lost
    When a peer tells of a demand that is no figure
    Then a call is admitted
