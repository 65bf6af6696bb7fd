// External names of the work classes, shared by the record parser and writer.
#ifndef BURDOCKSTREAM_RECORDS_SRC_WORKCLASSNAMES_H
#define BURDOCKSTREAM_RECORDS_SRC_WORKCLASSNAMES_H

#include "burdockstream/base/NameTable.h"
#include "burdockstream/records/ServiceConfig.h"

namespace burdockstream::records::detail {

inline constexpr base::NameTable<WorkClass, 2> WorkClassNames({{
    {WorkClass::Short, "short"},
    {WorkClass::Long, "long"},
}});

} // namespace burdockstream::records::detail

#endif
