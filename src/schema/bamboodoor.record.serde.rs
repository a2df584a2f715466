impl serde::Serialize for Carry {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.generation != 0 {
            len += 1;
        }
        if !self.sha256.is_empty() {
            len += 1;
        }
        if !self.body.is_empty() {
            len += 1;
        }
        if self.read_up_to != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.Carry", len)?;
        if self.generation != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("generation", ToString::to_string(&self.generation).as_str())?;
        }
        if !self.sha256.is_empty() {
            struct_ser.serialize_field("sha256", &self.sha256)?;
        }
        if !self.body.is_empty() {
            struct_ser.serialize_field("body", &self.body)?;
        }
        if self.read_up_to != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("read_up_to", ToString::to_string(&self.read_up_to).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Carry {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "generation",
            "sha256",
            "body",
            "read_up_to",
            "readUpTo",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Generation,
            Sha256,
            Body,
            ReadUpTo,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "generation" => Ok(GeneratedField::Generation),
                            "sha256" => Ok(GeneratedField::Sha256),
                            "body" => Ok(GeneratedField::Body),
                            "readUpTo" | "read_up_to" => Ok(GeneratedField::ReadUpTo),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Carry;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.Carry")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Carry, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut generation__ = None;
                let mut sha256__ = None;
                let mut body__ = None;
                let mut read_up_to__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Generation => {
                            if generation__.is_some() {
                                return Err(serde::de::Error::duplicate_field("generation"));
                            }
                            generation__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Sha256 => {
                            if sha256__.is_some() {
                                return Err(serde::de::Error::duplicate_field("sha256"));
                            }
                            sha256__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Body => {
                            if body__.is_some() {
                                return Err(serde::de::Error::duplicate_field("body"));
                            }
                            body__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ReadUpTo => {
                            if read_up_to__.is_some() {
                                return Err(serde::de::Error::duplicate_field("readUpTo"));
                            }
                            read_up_to__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Carry {
                    generation: generation__.unwrap_or_default(),
                    sha256: sha256__.unwrap_or_default(),
                    body: body__.unwrap_or_default(),
                    read_up_to: read_up_to__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.Carry", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Claim {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.key_high != 0 {
            len += 1;
        }
        if self.key_low != 0 {
            len += 1;
        }
        if self.entry != 0 {
            len += 1;
        }
        if self.request != 0 {
            len += 1;
        }
        if self.attempt != 0 {
            len += 1;
        }
        if !self.agent.is_empty() {
            len += 1;
        }
        if self.agent_incarnation != 0 {
            len += 1;
        }
        if self.digest != 0 {
            len += 1;
        }
        if self.takes_over != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.Claim", len)?;
        if self.key_high != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("key_high", ToString::to_string(&self.key_high).as_str())?;
        }
        if self.key_low != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("key_low", ToString::to_string(&self.key_low).as_str())?;
        }
        if self.entry != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("entry", ToString::to_string(&self.entry).as_str())?;
        }
        if self.request != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("request", ToString::to_string(&self.request).as_str())?;
        }
        if self.attempt != 0 {
            struct_ser.serialize_field("attempt", &self.attempt)?;
        }
        if !self.agent.is_empty() {
            struct_ser.serialize_field("agent", &self.agent)?;
        }
        if self.agent_incarnation != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("agent_incarnation", ToString::to_string(&self.agent_incarnation).as_str())?;
        }
        if self.digest != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("digest", ToString::to_string(&self.digest).as_str())?;
        }
        if self.takes_over != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("takes_over", ToString::to_string(&self.takes_over).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Claim {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "key_high",
            "keyHigh",
            "key_low",
            "keyLow",
            "entry",
            "request",
            "attempt",
            "agent",
            "agent_incarnation",
            "agentIncarnation",
            "digest",
            "takes_over",
            "takesOver",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            KeyHigh,
            KeyLow,
            Entry,
            Request,
            Attempt,
            Agent,
            AgentIncarnation,
            Digest,
            TakesOver,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "keyHigh" | "key_high" => Ok(GeneratedField::KeyHigh),
                            "keyLow" | "key_low" => Ok(GeneratedField::KeyLow),
                            "entry" => Ok(GeneratedField::Entry),
                            "request" => Ok(GeneratedField::Request),
                            "attempt" => Ok(GeneratedField::Attempt),
                            "agent" => Ok(GeneratedField::Agent),
                            "agentIncarnation" | "agent_incarnation" => Ok(GeneratedField::AgentIncarnation),
                            "digest" => Ok(GeneratedField::Digest),
                            "takesOver" | "takes_over" => Ok(GeneratedField::TakesOver),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Claim;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.Claim")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Claim, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut key_high__ = None;
                let mut key_low__ = None;
                let mut entry__ = None;
                let mut request__ = None;
                let mut attempt__ = None;
                let mut agent__ = None;
                let mut agent_incarnation__ = None;
                let mut digest__ = None;
                let mut takes_over__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::KeyHigh => {
                            if key_high__.is_some() {
                                return Err(serde::de::Error::duplicate_field("keyHigh"));
                            }
                            key_high__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::KeyLow => {
                            if key_low__.is_some() {
                                return Err(serde::de::Error::duplicate_field("keyLow"));
                            }
                            key_low__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Entry => {
                            if entry__.is_some() {
                                return Err(serde::de::Error::duplicate_field("entry"));
                            }
                            entry__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Request => {
                            if request__.is_some() {
                                return Err(serde::de::Error::duplicate_field("request"));
                            }
                            request__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Attempt => {
                            if attempt__.is_some() {
                                return Err(serde::de::Error::duplicate_field("attempt"));
                            }
                            attempt__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Agent => {
                            if agent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("agent"));
                            }
                            agent__ = Some(map_.next_value()?);
                        }
                        GeneratedField::AgentIncarnation => {
                            if agent_incarnation__.is_some() {
                                return Err(serde::de::Error::duplicate_field("agentIncarnation"));
                            }
                            agent_incarnation__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Digest => {
                            if digest__.is_some() {
                                return Err(serde::de::Error::duplicate_field("digest"));
                            }
                            digest__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::TakesOver => {
                            if takes_over__.is_some() {
                                return Err(serde::de::Error::duplicate_field("takesOver"));
                            }
                            takes_over__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Claim {
                    key_high: key_high__.unwrap_or_default(),
                    key_low: key_low__.unwrap_or_default(),
                    entry: entry__.unwrap_or_default(),
                    request: request__.unwrap_or_default(),
                    attempt: attempt__.unwrap_or_default(),
                    agent: agent__.unwrap_or_default(),
                    agent_incarnation: agent_incarnation__.unwrap_or_default(),
                    digest: digest__.unwrap_or_default(),
                    takes_over: takes_over__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.Claim", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ClaimBatch {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.claims.is_empty() {
            len += 1;
        }
        if !self.completions.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.ClaimBatch", len)?;
        if !self.claims.is_empty() {
            struct_ser.serialize_field("claims", &self.claims)?;
        }
        if !self.completions.is_empty() {
            struct_ser.serialize_field("completions", &self.completions)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ClaimBatch {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "claims",
            "completions",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Claims,
            Completions,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "claims" => Ok(GeneratedField::Claims),
                            "completions" => Ok(GeneratedField::Completions),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ClaimBatch;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.ClaimBatch")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ClaimBatch, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut claims__ = None;
                let mut completions__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Claims => {
                            if claims__.is_some() {
                                return Err(serde::de::Error::duplicate_field("claims"));
                            }
                            claims__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Completions => {
                            if completions__.is_some() {
                                return Err(serde::de::Error::duplicate_field("completions"));
                            }
                            completions__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ClaimBatch {
                    claims: claims__.unwrap_or_default(),
                    completions: completions__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.ClaimBatch", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Completion {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.key_high != 0 {
            len += 1;
        }
        if self.key_low != 0 {
            len += 1;
        }
        if self.entry != 0 {
            len += 1;
        }
        if self.request != 0 {
            len += 1;
        }
        if self.status != 0 {
            len += 1;
        }
        if self.not_run {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.Completion", len)?;
        if self.key_high != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("key_high", ToString::to_string(&self.key_high).as_str())?;
        }
        if self.key_low != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("key_low", ToString::to_string(&self.key_low).as_str())?;
        }
        if self.entry != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("entry", ToString::to_string(&self.entry).as_str())?;
        }
        if self.request != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("request", ToString::to_string(&self.request).as_str())?;
        }
        if self.status != 0 {
            struct_ser.serialize_field("status", &self.status)?;
        }
        if self.not_run {
            struct_ser.serialize_field("not_run", &self.not_run)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Completion {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "key_high",
            "keyHigh",
            "key_low",
            "keyLow",
            "entry",
            "request",
            "status",
            "not_run",
            "notRun",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            KeyHigh,
            KeyLow,
            Entry,
            Request,
            Status,
            NotRun,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "keyHigh" | "key_high" => Ok(GeneratedField::KeyHigh),
                            "keyLow" | "key_low" => Ok(GeneratedField::KeyLow),
                            "entry" => Ok(GeneratedField::Entry),
                            "request" => Ok(GeneratedField::Request),
                            "status" => Ok(GeneratedField::Status),
                            "notRun" | "not_run" => Ok(GeneratedField::NotRun),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Completion;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.Completion")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Completion, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut key_high__ = None;
                let mut key_low__ = None;
                let mut entry__ = None;
                let mut request__ = None;
                let mut status__ = None;
                let mut not_run__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::KeyHigh => {
                            if key_high__.is_some() {
                                return Err(serde::de::Error::duplicate_field("keyHigh"));
                            }
                            key_high__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::KeyLow => {
                            if key_low__.is_some() {
                                return Err(serde::de::Error::duplicate_field("keyLow"));
                            }
                            key_low__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Entry => {
                            if entry__.is_some() {
                                return Err(serde::de::Error::duplicate_field("entry"));
                            }
                            entry__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Request => {
                            if request__.is_some() {
                                return Err(serde::de::Error::duplicate_field("request"));
                            }
                            request__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Status => {
                            if status__.is_some() {
                                return Err(serde::de::Error::duplicate_field("status"));
                            }
                            status__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::NotRun => {
                            if not_run__.is_some() {
                                return Err(serde::de::Error::duplicate_field("notRun"));
                            }
                            not_run__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(Completion {
                    key_high: key_high__.unwrap_or_default(),
                    key_low: key_low__.unwrap_or_default(),
                    entry: entry__.unwrap_or_default(),
                    request: request__.unwrap_or_default(),
                    status: status__.unwrap_or_default(),
                    not_run: not_run__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.Completion", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CrashReportBatch {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.runs.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.CrashReportBatch", len)?;
        if !self.runs.is_empty() {
            struct_ser.serialize_field("runs", &self.runs)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CrashReportBatch {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "runs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Runs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "runs" => Ok(GeneratedField::Runs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CrashReportBatch;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.CrashReportBatch")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CrashReportBatch, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut runs__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Runs => {
                            if runs__.is_some() {
                                return Err(serde::de::Error::duplicate_field("runs"));
                            }
                            runs__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(CrashReportBatch {
                    runs: runs__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.CrashReportBatch", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CrashedRun {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.request_id.is_empty() {
            len += 1;
        }
        if !self.upstream_id.is_empty() {
            len += 1;
        }
        if self.upstream_started_ms != 0 {
            len += 1;
        }
        if !self.parts.is_empty() {
            len += 1;
        }
        if !self.fingerprint.is_empty() {
            len += 1;
        }
        if self.request_is_suspect {
            len += 1;
        }
        if self.is_trial {
            len += 1;
        }
        if self.crashed_unix_ms != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.CrashedRun", len)?;
        if !self.request_id.is_empty() {
            struct_ser.serialize_field("request_id", &self.request_id)?;
        }
        if !self.upstream_id.is_empty() {
            struct_ser.serialize_field("upstream_id", &self.upstream_id)?;
        }
        if self.upstream_started_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("upstream_started_ms", ToString::to_string(&self.upstream_started_ms).as_str())?;
        }
        if !self.parts.is_empty() {
            struct_ser.serialize_field("parts", &self.parts)?;
        }
        if !self.fingerprint.is_empty() {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("fingerprint", pbjson::private::base64::encode(&self.fingerprint).as_str())?;
        }
        if self.request_is_suspect {
            struct_ser.serialize_field("request_is_suspect", &self.request_is_suspect)?;
        }
        if self.is_trial {
            struct_ser.serialize_field("is_trial", &self.is_trial)?;
        }
        if self.crashed_unix_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("crashed_unix_ms", ToString::to_string(&self.crashed_unix_ms).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CrashedRun {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "request_id",
            "requestId",
            "upstream_id",
            "upstreamId",
            "upstream_started_ms",
            "upstreamStartedMs",
            "parts",
            "fingerprint",
            "request_is_suspect",
            "requestIsSuspect",
            "is_trial",
            "isTrial",
            "crashed_unix_ms",
            "crashedUnixMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            RequestId,
            UpstreamId,
            UpstreamStartedMs,
            Parts,
            Fingerprint,
            RequestIsSuspect,
            IsTrial,
            CrashedUnixMs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            "upstreamId" | "upstream_id" => Ok(GeneratedField::UpstreamId),
                            "upstreamStartedMs" | "upstream_started_ms" => Ok(GeneratedField::UpstreamStartedMs),
                            "parts" => Ok(GeneratedField::Parts),
                            "fingerprint" => Ok(GeneratedField::Fingerprint),
                            "requestIsSuspect" | "request_is_suspect" => Ok(GeneratedField::RequestIsSuspect),
                            "isTrial" | "is_trial" => Ok(GeneratedField::IsTrial),
                            "crashedUnixMs" | "crashed_unix_ms" => Ok(GeneratedField::CrashedUnixMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CrashedRun;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.CrashedRun")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CrashedRun, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut request_id__ = None;
                let mut upstream_id__ = None;
                let mut upstream_started_ms__ = None;
                let mut parts__ = None;
                let mut fingerprint__ = None;
                let mut request_is_suspect__ = None;
                let mut is_trial__ = None;
                let mut crashed_unix_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::UpstreamId => {
                            if upstream_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("upstreamId"));
                            }
                            upstream_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::UpstreamStartedMs => {
                            if upstream_started_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("upstreamStartedMs"));
                            }
                            upstream_started_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Parts => {
                            if parts__.is_some() {
                                return Err(serde::de::Error::duplicate_field("parts"));
                            }
                            parts__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Fingerprint => {
                            if fingerprint__.is_some() {
                                return Err(serde::de::Error::duplicate_field("fingerprint"));
                            }
                            fingerprint__ = 
                                Some(map_.next_value::<::pbjson::private::BytesDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::RequestIsSuspect => {
                            if request_is_suspect__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestIsSuspect"));
                            }
                            request_is_suspect__ = Some(map_.next_value()?);
                        }
                        GeneratedField::IsTrial => {
                            if is_trial__.is_some() {
                                return Err(serde::de::Error::duplicate_field("isTrial"));
                            }
                            is_trial__ = Some(map_.next_value()?);
                        }
                        GeneratedField::CrashedUnixMs => {
                            if crashed_unix_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("crashedUnixMs"));
                            }
                            crashed_unix_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(CrashedRun {
                    request_id: request_id__.unwrap_or_default(),
                    upstream_id: upstream_id__.unwrap_or_default(),
                    upstream_started_ms: upstream_started_ms__.unwrap_or_default(),
                    parts: parts__.unwrap_or_default(),
                    fingerprint: fingerprint__.unwrap_or_default(),
                    request_is_suspect: request_is_suspect__.unwrap_or_default(),
                    is_trial: is_trial__.unwrap_or_default(),
                    crashed_unix_ms: crashed_unix_ms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.CrashedRun", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ManifestRecord {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.kind.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.ManifestRecord", len)?;
        if let Some(v) = self.kind.as_ref() {
            match v {
                manifest_record::Kind::Publish(v) => {
                    struct_ser.serialize_field("publish", v)?;
                }
                manifest_record::Kind::Carry(v) => {
                    struct_ser.serialize_field("carry", v)?;
                }
            }
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ManifestRecord {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "publish",
            "carry",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Publish,
            Carry,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "publish" => Ok(GeneratedField::Publish),
                            "carry" => Ok(GeneratedField::Carry),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ManifestRecord;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.ManifestRecord")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ManifestRecord, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut kind__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Publish => {
                            if kind__.is_some() {
                                return Err(serde::de::Error::duplicate_field("publish"));
                            }
                            kind__ = map_.next_value::<::std::option::Option<_>>()?.map(manifest_record::Kind::Publish)
;
                        }
                        GeneratedField::Carry => {
                            if kind__.is_some() {
                                return Err(serde::de::Error::duplicate_field("carry"));
                            }
                            kind__ = map_.next_value::<::std::option::Option<_>>()?.map(manifest_record::Kind::Carry)
;
                        }
                    }
                }
                Ok(ManifestRecord {
                    kind: kind__,
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.ManifestRecord", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Publish {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.publish_id.is_empty() {
            len += 1;
        }
        if !self.publisher.is_empty() {
            len += 1;
        }
        if self.based_on != 0 {
            len += 1;
        }
        if !self.sha256.is_empty() {
            len += 1;
        }
        if !self.body.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.Publish", len)?;
        if !self.publish_id.is_empty() {
            struct_ser.serialize_field("publish_id", &self.publish_id)?;
        }
        if !self.publisher.is_empty() {
            struct_ser.serialize_field("publisher", &self.publisher)?;
        }
        if self.based_on != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("based_on", ToString::to_string(&self.based_on).as_str())?;
        }
        if !self.sha256.is_empty() {
            struct_ser.serialize_field("sha256", &self.sha256)?;
        }
        if !self.body.is_empty() {
            struct_ser.serialize_field("body", &self.body)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Publish {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "publish_id",
            "publishId",
            "publisher",
            "based_on",
            "basedOn",
            "sha256",
            "body",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            PublishId,
            Publisher,
            BasedOn,
            Sha256,
            Body,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "publishId" | "publish_id" => Ok(GeneratedField::PublishId),
                            "publisher" => Ok(GeneratedField::Publisher),
                            "basedOn" | "based_on" => Ok(GeneratedField::BasedOn),
                            "sha256" => Ok(GeneratedField::Sha256),
                            "body" => Ok(GeneratedField::Body),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Publish;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.Publish")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Publish, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut publish_id__ = None;
                let mut publisher__ = None;
                let mut based_on__ = None;
                let mut sha256__ = None;
                let mut body__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::PublishId => {
                            if publish_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("publishId"));
                            }
                            publish_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Publisher => {
                            if publisher__.is_some() {
                                return Err(serde::de::Error::duplicate_field("publisher"));
                            }
                            publisher__ = Some(map_.next_value()?);
                        }
                        GeneratedField::BasedOn => {
                            if based_on__.is_some() {
                                return Err(serde::de::Error::duplicate_field("basedOn"));
                            }
                            based_on__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Sha256 => {
                            if sha256__.is_some() {
                                return Err(serde::de::Error::duplicate_field("sha256"));
                            }
                            sha256__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Body => {
                            if body__.is_some() {
                                return Err(serde::de::Error::duplicate_field("body"));
                            }
                            body__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(Publish {
                    publish_id: publish_id__.unwrap_or_default(),
                    publisher: publisher__.unwrap_or_default(),
                    based_on: based_on__.unwrap_or_default(),
                    sha256: sha256__.unwrap_or_default(),
                    body: body__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.Publish", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for QuotaClaim {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.account.is_empty() {
            len += 1;
        }
        if self.units != 0. {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.QuotaClaim", len)?;
        if !self.account.is_empty() {
            struct_ser.serialize_field("account", &self.account)?;
        }
        if self.units != 0. {
            struct_ser.serialize_field("units", &self.units)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for QuotaClaim {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "account",
            "units",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Account,
            Units,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "account" => Ok(GeneratedField::Account),
                            "units" => Ok(GeneratedField::Units),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = QuotaClaim;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.QuotaClaim")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<QuotaClaim, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut account__ = None;
                let mut units__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Account => {
                            if account__.is_some() {
                                return Err(serde::de::Error::duplicate_field("account"));
                            }
                            account__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Units => {
                            if units__.is_some() {
                                return Err(serde::de::Error::duplicate_field("units"));
                            }
                            units__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(QuotaClaim {
                    account: account__.unwrap_or_default(),
                    units: units__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.QuotaClaim", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for QuotaClaimBatch {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.entry != 0 {
            len += 1;
        }
        if self.number != 0 {
            len += 1;
        }
        if !self.claims.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.QuotaClaimBatch", len)?;
        if self.entry != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("entry", ToString::to_string(&self.entry).as_str())?;
        }
        if self.number != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("number", ToString::to_string(&self.number).as_str())?;
        }
        if !self.claims.is_empty() {
            struct_ser.serialize_field("claims", &self.claims)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for QuotaClaimBatch {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "entry",
            "number",
            "claims",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Entry,
            Number,
            Claims,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "entry" => Ok(GeneratedField::Entry),
                            "number" => Ok(GeneratedField::Number),
                            "claims" => Ok(GeneratedField::Claims),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = QuotaClaimBatch;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.QuotaClaimBatch")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<QuotaClaimBatch, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut entry__ = None;
                let mut number__ = None;
                let mut claims__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Entry => {
                            if entry__.is_some() {
                                return Err(serde::de::Error::duplicate_field("entry"));
                            }
                            entry__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Number => {
                            if number__.is_some() {
                                return Err(serde::de::Error::duplicate_field("number"));
                            }
                            number__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Claims => {
                            if claims__.is_some() {
                                return Err(serde::de::Error::duplicate_field("claims"));
                            }
                            claims__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(QuotaClaimBatch {
                    entry: entry__.unwrap_or_default(),
                    number: number__.unwrap_or_default(),
                    claims: claims__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.QuotaClaimBatch", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ServiceVersions {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.versions.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.ServiceVersions", len)?;
        if !self.versions.is_empty() {
            struct_ser.serialize_field("versions", &self.versions)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ServiceVersions {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "versions",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Versions,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "versions" => Ok(GeneratedField::Versions),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ServiceVersions;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.ServiceVersions")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ServiceVersions, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut versions__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Versions => {
                            if versions__.is_some() {
                                return Err(serde::de::Error::duplicate_field("versions"));
                            }
                            versions__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ServiceVersions {
                    versions: versions__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.ServiceVersions", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for StreamOrigin {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.request_id.is_empty() {
            len += 1;
        }
        if !self.version.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.StreamOrigin", len)?;
        if !self.request_id.is_empty() {
            struct_ser.serialize_field("request_id", &self.request_id)?;
        }
        if !self.version.is_empty() {
            struct_ser.serialize_field("version", &self.version)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for StreamOrigin {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "request_id",
            "requestId",
            "version",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            RequestId,
            Version,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            "version" => Ok(GeneratedField::Version),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = StreamOrigin;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.StreamOrigin")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<StreamOrigin, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut request_id__ = None;
                let mut version__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(StreamOrigin {
                    request_id: request_id__.unwrap_or_default(),
                    version: version__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.StreamOrigin", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for StreamOriginBatch {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.origins.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.StreamOriginBatch", len)?;
        if !self.origins.is_empty() {
            struct_ser.serialize_field("origins", &self.origins)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for StreamOriginBatch {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "origins",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Origins,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "origins" => Ok(GeneratedField::Origins),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = StreamOriginBatch;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.StreamOriginBatch")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<StreamOriginBatch, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut origins__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Origins => {
                            if origins__.is_some() {
                                return Err(serde::de::Error::duplicate_field("origins"));
                            }
                            origins__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(StreamOriginBatch {
                    origins: origins__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.StreamOriginBatch", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for SuspectRecord {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.runs.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.record.SuspectRecord", len)?;
        if !self.runs.is_empty() {
            struct_ser.serialize_field("runs", &self.runs)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for SuspectRecord {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "runs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Runs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "runs" => Ok(GeneratedField::Runs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = SuspectRecord;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.record.SuspectRecord")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<SuspectRecord, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut runs__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Runs => {
                            if runs__.is_some() {
                                return Err(serde::de::Error::duplicate_field("runs"));
                            }
                            runs__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(SuspectRecord {
                    runs: runs__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.record.SuspectRecord", FIELDS, GeneratedVisitor)
    }
}
