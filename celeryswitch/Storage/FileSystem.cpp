#include "celeryswitch/Storage/FileSystem.h"

namespace celeryswitch::Storage {

Core::Result<void> replaceFile(
    FileSystem& files, const std::string& folder, const std::string& name, std::string_view content)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + ".tmp";
    // A temporary file of an earlier attempt may hold part of another content.
    BOOST_OUTCOME_TRY(files.remove(temporary));
    {
        BOOST_OUTCOME_TRY(const auto file, files.openAppend(temporary));
        BOOST_OUTCOME_TRY(file->append(content));
        BOOST_OUTCOME_TRY(file->sync());
    }
    BOOST_OUTCOME_TRY(files.rename(temporary, path));
    return files.syncFolder(folder);
}

}
