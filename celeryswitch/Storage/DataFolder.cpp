#include "celeryswitch/Storage/DataFolder.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <random>

namespace celeryswitch::Storage {

using Core::Error;
using Core::Result;
namespace json = boost::json;

namespace {

constexpr const char* identityName = "identity.json";

json::array describe(const std::vector<Messages::ReplicaInfo>& replicas)
{
    json::array result;
    for (const Messages::ReplicaInfo& replica : replicas)
        result.push_back(json::object { { "id", replica.id }, { "address", replica.address } });
    return result;
}

}

Result<DataFolder> DataFolder::open(FileSystem& files, const std::string& path, const std::string& name,
    const std::function<std::string()>& randomSuffix, const std::optional<FirstStart>& firstStart)
{
    DataFolder opened(files, path);
    BOOST_OUTCOME_TRY(files.createFolder(path));
    BOOST_OUTCOME_TRY(opened.lock, files.lock(path));
    BOOST_OUTCOME_TRY(const auto names, files.list(path));
    if (std::find(names.begin(), names.end(), identityName) != names.end()) {
        BOOST_OUTCOME_TRY(const std::string text, files.read(path + "/" + identityName));
        BOOST_OUTCOME_TRY(opened.load(text));
        return opened;
    }
    // A new identity on top of old data would vote with a log that it can't vouch for.
    for (const std::string& present : names) {
        if (present == "snapshot" || present.starts_with("log-"))
            return Error(StorageError::Damaged, path + "/" + identityName + " is missing, but " + present + " exists");
    }
    if (firstStart) {
        // Identity and group are written at once: a crash leaves a member of the first group or an empty folder.
        opened.id = firstStart->replicaId;
        opened.hasGroup = true;
        opened.group = firstStart->group;
    } else {
        opened.id = name + "-" + randomSuffix();
    }
    BOOST_OUTCOME_TRY(opened.save());
    return opened;
}

std::string DataFolder::systemRandomSuffix()
{
    std::random_device device;
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", device(), device());
    return text;
}

Result<void> DataFolder::form(const Messages::ReplicaGroup& initialGroup)
{
    this->hasGroup = true;
    this->group = initialGroup;
    return this->save();
}

Result<void> DataFolder::save()
{
    const json::object identity { { "replicaId", this->id }, { "isFormed", this->hasGroup },
        { "voters", describe(this->group.voters) } };
    return replaceFile(*this->files, this->folder, identityName, json::serialize(identity) + "\n");
}

Result<void> DataFolder::load(const std::string& text)
{
    const auto damaged
        = [&] { return Error(StorageError::Damaged, this->folder + "/" + identityName + " at offset 0"); };
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    const json::object* identity = error ? nullptr : parsed.if_object();
    const json::value* replicaId = identity ? identity->if_contains("replicaId") : nullptr;
    const json::value* isFormed = identity ? identity->if_contains("isFormed") : nullptr;
    const json::value* voters = identity ? identity->if_contains("voters") : nullptr;
    if (!replicaId || !replicaId->is_string() || !isFormed || !isFormed->is_bool() || !voters || !voters->is_array())
        return damaged();
    this->id = std::string(replicaId->get_string());
    this->hasGroup = isFormed->get_bool();
    for (const json::value& voter : voters->get_array()) {
        const json::value* id = voter.is_object() ? voter.get_object().if_contains("id") : nullptr;
        const json::value* address = voter.is_object() ? voter.get_object().if_contains("address") : nullptr;
        if (!id || !id->is_string() || !address || !address->is_string())
            return damaged();
        this->group.voters.push_back({ std::string(id->get_string()), std::string(address->get_string()) });
    }
    return Core::success();
}

}
