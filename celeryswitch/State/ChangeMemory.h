#pragma once

#include "celeryswitch/Messages/StateMessages.h"
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <deque>
#include <map>
#include <optional>

namespace celeryswitch::State {

/// First answers to changes by changeId, so that a change that is sent again gets the same answer.
class ChangeMemory {
public:
    /// Answers kept; the oldest are forgotten. 20,000 are almost three days at 7,100 changes a day and about 5 MB.
    static constexpr std::size_t capacity = 20'000;

    /// The first answer to a change.
    struct Answer {
        /// xxh3 of the change; a change with the same id and another content is refused.
        std::uint64_t fingerprint = 0;
        Messages::StateRefusal refusal = Messages::StateRefusal::None;
        std::string detail;
        Core::ConfigurationVersion version = 0;

        template <typename Archive> void serialize(Archive& archive)
        {
            archive(this->fingerprint, this->refusal, this->detail, this->version);
        }
    };

    /// The answer to a change, or null when it is unknown.
    const Answer* find(const std::string& changeId) const
    {
        const auto found = this->answers.find(changeId);
        return found != this->answers.end() ? &found->second : nullptr;
    }
    /// Keeps the first answer to a change.
    void remember(const std::string& changeId, Answer answer)
    {
        this->answers.emplace(changeId, std::move(answer));
        this->order.push_back(changeId);
        if (this->order.size() > capacity) {
            this->answers.erase(this->order.front());
            this->order.pop_front();
        }
    }

    template <typename Archive> void serialize(Archive& archive) { archive(this->answers, this->order); }

private:
    std::map<std::string, Answer> answers;
    std::deque<std::string> order;
};

}
