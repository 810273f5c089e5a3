"""Progress of a request through a graph of stages."""

from hypothesis import given
from hypothesis import strategies as st

from galenadrum._internal.dispatch.stage_graph import StageGraph
from galenadrum._internal.models.routing import RouteStage

CHAIN = (RouteStage("a"), RouteStage("b", (0,)), RouteStage("c", (1,)))


def complete_all(graph):
    completed_pieces = []
    while due := list(graph.request_due_pieces()):
        for stage, number in due:
            graph.record_result(stage, number, f"h{stage}.{number}")
            completed_pieces.append((stage, number))
    return completed_pieces


class TestOrder:
    def test_stage_is_due_only_after_its_predecessors(self):
        graph = StageGraph(CHAIN, (1, 2, 1))
        assert list(graph.request_due_pieces()) == [(0, 0)]
        assert list(graph.request_due_pieces()) == []
        graph.record_result(0, 0, "h")
        assert list(graph.request_due_pieces()) == [(1, 0), (1, 1)]

    def test_piece_receives_all_results_of_the_previous_stage(self):
        graph = StageGraph(CHAIN, (1, 2, 1))
        complete_all(graph)
        assert graph.input_handles(2) == ("h1.0", "h1.1")
        assert graph.final_handles() == ("h2.0",)

    def test_skipped_stage_counts_as_complete(self):
        graph = StageGraph((RouteStage("a"),), (0,))
        assert graph.is_complete
        assert graph.final_handles() == ()

    def test_missing_counts_skip_stages(self):
        assert StageGraph(CHAIN, ()).is_complete


class TestLostResults:
    def test_discarded_inputs_become_due_again(self):
        graph = StageGraph(CHAIN, (1, 1, 1))
        list(graph.request_due_pieces())
        graph.record_result(0, 0, "h")
        list(graph.request_due_pieces())
        graph.reset_request(1, 0)
        assert graph.discard_inputs(1) == ("h",)
        assert list(graph.request_due_pieces()) == [(0, 0)]

    def test_released_inputs_are_produced_again(self):
        graph = StageGraph(CHAIN, (1, 1, 1))
        complete_all(graph)
        assert set(graph.release_consumed_results()) == {"h0.0", "h1.0"}
        assert graph.discard_final_results() == ("h2.0",)
        assert complete_all(graph) == [(0, 0), (1, 0), (2, 0)]
        assert graph.is_complete


class TestReleases:
    def test_result_is_released_once_dependent_stages_are_complete(self):
        graph = StageGraph(CHAIN, (1, 2, 0))
        list(graph.request_due_pieces())
        graph.record_result(0, 0, "h")
        list(graph.request_due_pieces())
        graph.record_result(1, 0, "i")
        assert graph.release_consumed_results() == ()
        graph.record_result(1, 1, "j")
        # The last stage is skipped, so its inputs are released as well.
        assert set(graph.release_consumed_results()) == {"h", "i", "j"}
        assert graph.release_consumed_results() == ()

    @given(st.lists(st.integers(0, 4), min_size=3, max_size=3))
    def test_every_handle_is_released_or_held(self, pieces):
        graph = StageGraph(CHAIN, tuple(pieces))
        completed_pieces = complete_all(graph)
        released = graph.release_consumed_results()
        held = graph.unreleased_handles()
        assert len(released) + len(held) == len(completed_pieces) == sum(pieces)
        assert not set(released) & set(held)
