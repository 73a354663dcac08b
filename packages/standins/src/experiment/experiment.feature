Feature: The policy bench is deterministic and honest

  Scenario: One seed gives the same figures twice
    Given the bench runs calderas' steady mix for one seed twice
    Then both bench runs have the same figures

  Scenario: Every request of a bench run is accounted for
    Given the bench runs calderas' steady mix for one seed twice
    Then each offered request is completed, refused or failed

  Scenario: An engine in a role change takes nothing
    Given a fake engine that was told to change its role
    Then it takes no job until the change is over and then only jobs of its role

  Scenario: Reports have tables and plots
    Then a small report renders as Markdown and its plot as SVG
