#include "celeryswitch/Load/LoadTally.h"

#include <algorithm>
#include <cmath>

namespace celeryswitch::Load {

namespace {

template <typename T> void append(std::vector<T>& values, std::vector<T>& others)
{
    values.insert(values.end(), std::make_move_iterator(others.begin()), std::make_move_iterator(others.end()));
}

}

void LoadTally::add(LoadTally other)
{
    this->kinds.resize(std::max(this->kinds.size(), other.kinds.size()));
    for (std::size_t kind = 0; kind < other.kinds.size(); ++kind) {
        KindTally& mine = this->kinds[kind];
        KindTally& theirs = other.kinds[kind];
        mine.jobs += theirs.jobs;
        mine.submittedTasks += theirs.submittedTasks;
        mine.outcomes.add(Messages::TaskOutcome::Succeeded, theirs.outcomes.succeeded);
        mine.outcomes.add(Messages::TaskOutcome::Failed, theirs.outcomes.failed);
        mine.outcomes.add(Messages::TaskOutcome::Unconfirmed, theirs.outcomes.unconfirmed);
        mine.outcomes.add(Messages::TaskOutcome::NeverStarted, theirs.outcomes.neverStarted);
        append(mine.ratios, theirs.ratios);
        append(mine.responses, theirs.responses);
    }
    for (const auto& [reason, tasks] : other.reasons)
        this->reasons[reason] += tasks;
    append(this->tasks, other.tasks);
    append(this->wrongAnswers, other.wrongAnswers);
    append(this->brokenAnswers, other.brokenAnswers);
    this->resubmissions += other.resubmissions;
    this->unanswered += other.unanswered;
}

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    const auto position
        = values.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, values.size()) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

}
