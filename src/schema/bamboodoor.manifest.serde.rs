impl serde::Serialize for ClientAccount {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if self.weight != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.ClientAccount", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if self.weight != 0 {
            struct_ser.serialize_field("weight", &self.weight)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ClientAccount {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "weight",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            Weight,
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
                            "name" => Ok(GeneratedField::Name),
                            "weight" => Ok(GeneratedField::Weight),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ClientAccount;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.ClientAccount")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ClientAccount, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut weight__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Weight => {
                            if weight__.is_some() {
                                return Err(serde::de::Error::duplicate_field("weight"));
                            }
                            weight__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(ClientAccount {
                    name: name__.unwrap_or_default(),
                    weight: weight__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.ClientAccount", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Link {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.from_zone.is_empty() {
            len += 1;
        }
        if !self.to_zone.is_empty() {
            len += 1;
        }
        if self.bytes_per_s != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.Link", len)?;
        if !self.from_zone.is_empty() {
            struct_ser.serialize_field("from_zone", &self.from_zone)?;
        }
        if !self.to_zone.is_empty() {
            struct_ser.serialize_field("to_zone", &self.to_zone)?;
        }
        if self.bytes_per_s != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("bytes_per_s", ToString::to_string(&self.bytes_per_s).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Link {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "from_zone",
            "fromZone",
            "to_zone",
            "toZone",
            "bytes_per_s",
            "bytesPerS",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            FromZone,
            ToZone,
            BytesPerS,
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
                            "fromZone" | "from_zone" => Ok(GeneratedField::FromZone),
                            "toZone" | "to_zone" => Ok(GeneratedField::ToZone),
                            "bytesPerS" | "bytes_per_s" => Ok(GeneratedField::BytesPerS),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Link;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.Link")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Link, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut from_zone__ = None;
                let mut to_zone__ = None;
                let mut bytes_per_s__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::FromZone => {
                            if from_zone__.is_some() {
                                return Err(serde::de::Error::duplicate_field("fromZone"));
                            }
                            from_zone__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ToZone => {
                            if to_zone__.is_some() {
                                return Err(serde::de::Error::duplicate_field("toZone"));
                            }
                            to_zone__ = Some(map_.next_value()?);
                        }
                        GeneratedField::BytesPerS => {
                            if bytes_per_s__.is_some() {
                                return Err(serde::de::Error::duplicate_field("bytesPerS"));
                            }
                            bytes_per_s__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Link {
                    from_zone: from_zone__.unwrap_or_default(),
                    to_zone: to_zone__.unwrap_or_default(),
                    bytes_per_s: bytes_per_s__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.Link", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Manifest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if !self.models.is_empty() {
            len += 1;
        }
        if !self.pools.is_empty() {
            len += 1;
        }
        if !self.links.is_empty() {
            len += 1;
        }
        if !self.services.is_empty() {
            len += 1;
        }
        if !self.non_idempotent.is_empty() {
            len += 1;
        }
        if !self.priority_classes.is_empty() {
            len += 1;
        }
        if !self.client_accounts.is_empty() {
            len += 1;
        }
        if self.idempotency_window_ms != 0 {
            len += 1;
        }
        if self.drain_bound_ms != 0 {
            len += 1;
        }
        if self.log_retention_ms != 0 {
            len += 1;
        }
        if self.policy.is_some() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.Manifest", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if !self.models.is_empty() {
            struct_ser.serialize_field("models", &self.models)?;
        }
        if !self.pools.is_empty() {
            struct_ser.serialize_field("pools", &self.pools)?;
        }
        if !self.links.is_empty() {
            struct_ser.serialize_field("links", &self.links)?;
        }
        if !self.services.is_empty() {
            struct_ser.serialize_field("services", &self.services)?;
        }
        if !self.non_idempotent.is_empty() {
            struct_ser.serialize_field("non_idempotent", &self.non_idempotent)?;
        }
        if !self.priority_classes.is_empty() {
            struct_ser.serialize_field("priority_classes", &self.priority_classes)?;
        }
        if !self.client_accounts.is_empty() {
            struct_ser.serialize_field("client_accounts", &self.client_accounts)?;
        }
        if self.idempotency_window_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("idempotency_window_ms", ToString::to_string(&self.idempotency_window_ms).as_str())?;
        }
        if self.drain_bound_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("drain_bound_ms", ToString::to_string(&self.drain_bound_ms).as_str())?;
        }
        if self.log_retention_ms != 0 {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("log_retention_ms", ToString::to_string(&self.log_retention_ms).as_str())?;
        }
        if let Some(v) = self.policy.as_ref() {
            struct_ser.serialize_field("policy", v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Manifest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "models",
            "pools",
            "links",
            "services",
            "non_idempotent",
            "nonIdempotent",
            "priority_classes",
            "priorityClasses",
            "client_accounts",
            "clientAccounts",
            "idempotency_window_ms",
            "idempotencyWindowMs",
            "drain_bound_ms",
            "drainBoundMs",
            "log_retention_ms",
            "logRetentionMs",
            "policy",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            Models,
            Pools,
            Links,
            Services,
            NonIdempotent,
            PriorityClasses,
            ClientAccounts,
            IdempotencyWindowMs,
            DrainBoundMs,
            LogRetentionMs,
            Policy,
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
                            "name" => Ok(GeneratedField::Name),
                            "models" => Ok(GeneratedField::Models),
                            "pools" => Ok(GeneratedField::Pools),
                            "links" => Ok(GeneratedField::Links),
                            "services" => Ok(GeneratedField::Services),
                            "nonIdempotent" | "non_idempotent" => Ok(GeneratedField::NonIdempotent),
                            "priorityClasses" | "priority_classes" => Ok(GeneratedField::PriorityClasses),
                            "clientAccounts" | "client_accounts" => Ok(GeneratedField::ClientAccounts),
                            "idempotencyWindowMs" | "idempotency_window_ms" => Ok(GeneratedField::IdempotencyWindowMs),
                            "drainBoundMs" | "drain_bound_ms" => Ok(GeneratedField::DrainBoundMs),
                            "logRetentionMs" | "log_retention_ms" => Ok(GeneratedField::LogRetentionMs),
                            "policy" => Ok(GeneratedField::Policy),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Manifest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.Manifest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Manifest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut models__ = None;
                let mut pools__ = None;
                let mut links__ = None;
                let mut services__ = None;
                let mut non_idempotent__ = None;
                let mut priority_classes__ = None;
                let mut client_accounts__ = None;
                let mut idempotency_window_ms__ = None;
                let mut drain_bound_ms__ = None;
                let mut log_retention_ms__ = None;
                let mut policy__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Models => {
                            if models__.is_some() {
                                return Err(serde::de::Error::duplicate_field("models"));
                            }
                            models__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Pools => {
                            if pools__.is_some() {
                                return Err(serde::de::Error::duplicate_field("pools"));
                            }
                            pools__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Links => {
                            if links__.is_some() {
                                return Err(serde::de::Error::duplicate_field("links"));
                            }
                            links__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Services => {
                            if services__.is_some() {
                                return Err(serde::de::Error::duplicate_field("services"));
                            }
                            services__ = Some(map_.next_value()?);
                        }
                        GeneratedField::NonIdempotent => {
                            if non_idempotent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("nonIdempotent"));
                            }
                            non_idempotent__ = Some(map_.next_value()?);
                        }
                        GeneratedField::PriorityClasses => {
                            if priority_classes__.is_some() {
                                return Err(serde::de::Error::duplicate_field("priorityClasses"));
                            }
                            priority_classes__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ClientAccounts => {
                            if client_accounts__.is_some() {
                                return Err(serde::de::Error::duplicate_field("clientAccounts"));
                            }
                            client_accounts__ = Some(map_.next_value()?);
                        }
                        GeneratedField::IdempotencyWindowMs => {
                            if idempotency_window_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("idempotencyWindowMs"));
                            }
                            idempotency_window_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::DrainBoundMs => {
                            if drain_bound_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("drainBoundMs"));
                            }
                            drain_bound_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::LogRetentionMs => {
                            if log_retention_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("logRetentionMs"));
                            }
                            log_retention_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Policy => {
                            if policy__.is_some() {
                                return Err(serde::de::Error::duplicate_field("policy"));
                            }
                            policy__ = map_.next_value()?;
                        }
                    }
                }
                Ok(Manifest {
                    name: name__.unwrap_or_default(),
                    models: models__.unwrap_or_default(),
                    pools: pools__.unwrap_or_default(),
                    links: links__.unwrap_or_default(),
                    services: services__.unwrap_or_default(),
                    non_idempotent: non_idempotent__.unwrap_or_default(),
                    priority_classes: priority_classes__.unwrap_or_default(),
                    client_accounts: client_accounts__.unwrap_or_default(),
                    idempotency_window_ms: idempotency_window_ms__.unwrap_or_default(),
                    drain_bound_ms: drain_bound_ms__.unwrap_or_default(),
                    log_retention_ms: log_retention_ms__.unwrap_or_default(),
                    policy: policy__,
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.Manifest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Model {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if !self.prefill_pool.is_empty() {
            len += 1;
        }
        if !self.decode_pool.is_empty() {
            len += 1;
        }
        if self.max_prompt_tokens != 0 {
            len += 1;
        }
        if self.max_output_tokens != 0 {
            len += 1;
        }
        if self.prompt_bytes_per_token != 0 {
            len += 1;
        }
        if self.kv_bytes_per_token != 0 {
            len += 1;
        }
        if self.first_token_target_ms != 0 {
            len += 1;
        }
        if self.between_tokens_target_ms != 0 {
            len += 1;
        }
        if self.deadline_ms != 0 {
            len += 1;
        }
        if !self.priority_class.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.Model", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if !self.prefill_pool.is_empty() {
            struct_ser.serialize_field("prefill_pool", &self.prefill_pool)?;
        }
        if !self.decode_pool.is_empty() {
            struct_ser.serialize_field("decode_pool", &self.decode_pool)?;
        }
        if self.max_prompt_tokens != 0 {
            struct_ser.serialize_field("max_prompt_tokens", &self.max_prompt_tokens)?;
        }
        if self.max_output_tokens != 0 {
            struct_ser.serialize_field("max_output_tokens", &self.max_output_tokens)?;
        }
        if self.prompt_bytes_per_token != 0 {
            struct_ser.serialize_field("prompt_bytes_per_token", &self.prompt_bytes_per_token)?;
        }
        if self.kv_bytes_per_token != 0 {
            struct_ser.serialize_field("kv_bytes_per_token", &self.kv_bytes_per_token)?;
        }
        if self.first_token_target_ms != 0 {
            struct_ser.serialize_field("first_token_target_ms", &self.first_token_target_ms)?;
        }
        if self.between_tokens_target_ms != 0 {
            struct_ser.serialize_field("between_tokens_target_ms", &self.between_tokens_target_ms)?;
        }
        if self.deadline_ms != 0 {
            struct_ser.serialize_field("deadline_ms", &self.deadline_ms)?;
        }
        if !self.priority_class.is_empty() {
            struct_ser.serialize_field("priority_class", &self.priority_class)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Model {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "prefill_pool",
            "prefillPool",
            "decode_pool",
            "decodePool",
            "max_prompt_tokens",
            "maxPromptTokens",
            "max_output_tokens",
            "maxOutputTokens",
            "prompt_bytes_per_token",
            "promptBytesPerToken",
            "kv_bytes_per_token",
            "kvBytesPerToken",
            "first_token_target_ms",
            "firstTokenTargetMs",
            "between_tokens_target_ms",
            "betweenTokensTargetMs",
            "deadline_ms",
            "deadlineMs",
            "priority_class",
            "priorityClass",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            PrefillPool,
            DecodePool,
            MaxPromptTokens,
            MaxOutputTokens,
            PromptBytesPerToken,
            KvBytesPerToken,
            FirstTokenTargetMs,
            BetweenTokensTargetMs,
            DeadlineMs,
            PriorityClass,
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
                            "name" => Ok(GeneratedField::Name),
                            "prefillPool" | "prefill_pool" => Ok(GeneratedField::PrefillPool),
                            "decodePool" | "decode_pool" => Ok(GeneratedField::DecodePool),
                            "maxPromptTokens" | "max_prompt_tokens" => Ok(GeneratedField::MaxPromptTokens),
                            "maxOutputTokens" | "max_output_tokens" => Ok(GeneratedField::MaxOutputTokens),
                            "promptBytesPerToken" | "prompt_bytes_per_token" => Ok(GeneratedField::PromptBytesPerToken),
                            "kvBytesPerToken" | "kv_bytes_per_token" => Ok(GeneratedField::KvBytesPerToken),
                            "firstTokenTargetMs" | "first_token_target_ms" => Ok(GeneratedField::FirstTokenTargetMs),
                            "betweenTokensTargetMs" | "between_tokens_target_ms" => Ok(GeneratedField::BetweenTokensTargetMs),
                            "deadlineMs" | "deadline_ms" => Ok(GeneratedField::DeadlineMs),
                            "priorityClass" | "priority_class" => Ok(GeneratedField::PriorityClass),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Model;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.Model")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Model, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut prefill_pool__ = None;
                let mut decode_pool__ = None;
                let mut max_prompt_tokens__ = None;
                let mut max_output_tokens__ = None;
                let mut prompt_bytes_per_token__ = None;
                let mut kv_bytes_per_token__ = None;
                let mut first_token_target_ms__ = None;
                let mut between_tokens_target_ms__ = None;
                let mut deadline_ms__ = None;
                let mut priority_class__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::PrefillPool => {
                            if prefill_pool__.is_some() {
                                return Err(serde::de::Error::duplicate_field("prefillPool"));
                            }
                            prefill_pool__ = Some(map_.next_value()?);
                        }
                        GeneratedField::DecodePool => {
                            if decode_pool__.is_some() {
                                return Err(serde::de::Error::duplicate_field("decodePool"));
                            }
                            decode_pool__ = Some(map_.next_value()?);
                        }
                        GeneratedField::MaxPromptTokens => {
                            if max_prompt_tokens__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxPromptTokens"));
                            }
                            max_prompt_tokens__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxOutputTokens => {
                            if max_output_tokens__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxOutputTokens"));
                            }
                            max_output_tokens__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::PromptBytesPerToken => {
                            if prompt_bytes_per_token__.is_some() {
                                return Err(serde::de::Error::duplicate_field("promptBytesPerToken"));
                            }
                            prompt_bytes_per_token__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::KvBytesPerToken => {
                            if kv_bytes_per_token__.is_some() {
                                return Err(serde::de::Error::duplicate_field("kvBytesPerToken"));
                            }
                            kv_bytes_per_token__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::FirstTokenTargetMs => {
                            if first_token_target_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("firstTokenTargetMs"));
                            }
                            first_token_target_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::BetweenTokensTargetMs => {
                            if between_tokens_target_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("betweenTokensTargetMs"));
                            }
                            between_tokens_target_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::DeadlineMs => {
                            if deadline_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("deadlineMs"));
                            }
                            deadline_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::PriorityClass => {
                            if priority_class__.is_some() {
                                return Err(serde::de::Error::duplicate_field("priorityClass"));
                            }
                            priority_class__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(Model {
                    name: name__.unwrap_or_default(),
                    prefill_pool: prefill_pool__.unwrap_or_default(),
                    decode_pool: decode_pool__.unwrap_or_default(),
                    max_prompt_tokens: max_prompt_tokens__.unwrap_or_default(),
                    max_output_tokens: max_output_tokens__.unwrap_or_default(),
                    prompt_bytes_per_token: prompt_bytes_per_token__.unwrap_or_default(),
                    kv_bytes_per_token: kv_bytes_per_token__.unwrap_or_default(),
                    first_token_target_ms: first_token_target_ms__.unwrap_or_default(),
                    between_tokens_target_ms: between_tokens_target_ms__.unwrap_or_default(),
                    deadline_ms: deadline_ms__.unwrap_or_default(),
                    priority_class: priority_class__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.Model", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for NonIdempotentRule {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.model.is_empty() {
            len += 1;
        }
        if !self.service.is_empty() {
            len += 1;
        }
        if !self.method.is_empty() {
            len += 1;
        }
        if !self.path_prefix.is_empty() {
            len += 1;
        }
        if self.key_required {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.NonIdempotentRule", len)?;
        if !self.model.is_empty() {
            struct_ser.serialize_field("model", &self.model)?;
        }
        if !self.service.is_empty() {
            struct_ser.serialize_field("service", &self.service)?;
        }
        if !self.method.is_empty() {
            struct_ser.serialize_field("method", &self.method)?;
        }
        if !self.path_prefix.is_empty() {
            struct_ser.serialize_field("path_prefix", &self.path_prefix)?;
        }
        if self.key_required {
            struct_ser.serialize_field("key_required", &self.key_required)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for NonIdempotentRule {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "model",
            "service",
            "method",
            "path_prefix",
            "pathPrefix",
            "key_required",
            "keyRequired",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Model,
            Service,
            Method,
            PathPrefix,
            KeyRequired,
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
                            "model" => Ok(GeneratedField::Model),
                            "service" => Ok(GeneratedField::Service),
                            "method" => Ok(GeneratedField::Method),
                            "pathPrefix" | "path_prefix" => Ok(GeneratedField::PathPrefix),
                            "keyRequired" | "key_required" => Ok(GeneratedField::KeyRequired),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = NonIdempotentRule;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.NonIdempotentRule")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<NonIdempotentRule, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut model__ = None;
                let mut service__ = None;
                let mut method__ = None;
                let mut path_prefix__ = None;
                let mut key_required__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Model => {
                            if model__.is_some() {
                                return Err(serde::de::Error::duplicate_field("model"));
                            }
                            model__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Service => {
                            if service__.is_some() {
                                return Err(serde::de::Error::duplicate_field("service"));
                            }
                            service__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Method => {
                            if method__.is_some() {
                                return Err(serde::de::Error::duplicate_field("method"));
                            }
                            method__ = Some(map_.next_value()?);
                        }
                        GeneratedField::PathPrefix => {
                            if path_prefix__.is_some() {
                                return Err(serde::de::Error::duplicate_field("pathPrefix"));
                            }
                            path_prefix__ = Some(map_.next_value()?);
                        }
                        GeneratedField::KeyRequired => {
                            if key_required__.is_some() {
                                return Err(serde::de::Error::duplicate_field("keyRequired"));
                            }
                            key_required__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(NonIdempotentRule {
                    model: model__.unwrap_or_default(),
                    service: service__.unwrap_or_default(),
                    method: method__.unwrap_or_default(),
                    path_prefix: path_prefix__.unwrap_or_default(),
                    key_required: key_required__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.NonIdempotentRule", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Policy {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if self.admit_at_target_percent != 0 {
            len += 1;
        }
        if self.retry_budget_percent != 0 {
            len += 1;
        }
        if self.ejection_cap_percent != 0 {
            len += 1;
        }
        if self.ejection_failures != 0 {
            len += 1;
        }
        if self.ejection_ms != 0 {
            len += 1;
        }
        if self.cross_zone_cost_ms != 0 {
            len += 1;
        }
        if self.cross_region_cost_ms != 0 {
            len += 1;
        }
        if self.max_attempts != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.Policy", len)?;
        if self.admit_at_target_percent != 0 {
            struct_ser.serialize_field("admit_at_target_percent", &self.admit_at_target_percent)?;
        }
        if self.retry_budget_percent != 0 {
            struct_ser.serialize_field("retry_budget_percent", &self.retry_budget_percent)?;
        }
        if self.ejection_cap_percent != 0 {
            struct_ser.serialize_field("ejection_cap_percent", &self.ejection_cap_percent)?;
        }
        if self.ejection_failures != 0 {
            struct_ser.serialize_field("ejection_failures", &self.ejection_failures)?;
        }
        if self.ejection_ms != 0 {
            struct_ser.serialize_field("ejection_ms", &self.ejection_ms)?;
        }
        if self.cross_zone_cost_ms != 0 {
            struct_ser.serialize_field("cross_zone_cost_ms", &self.cross_zone_cost_ms)?;
        }
        if self.cross_region_cost_ms != 0 {
            struct_ser.serialize_field("cross_region_cost_ms", &self.cross_region_cost_ms)?;
        }
        if self.max_attempts != 0 {
            struct_ser.serialize_field("max_attempts", &self.max_attempts)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Policy {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "admit_at_target_percent",
            "admitAtTargetPercent",
            "retry_budget_percent",
            "retryBudgetPercent",
            "ejection_cap_percent",
            "ejectionCapPercent",
            "ejection_failures",
            "ejectionFailures",
            "ejection_ms",
            "ejectionMs",
            "cross_zone_cost_ms",
            "crossZoneCostMs",
            "cross_region_cost_ms",
            "crossRegionCostMs",
            "max_attempts",
            "maxAttempts",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            AdmitAtTargetPercent,
            RetryBudgetPercent,
            EjectionCapPercent,
            EjectionFailures,
            EjectionMs,
            CrossZoneCostMs,
            CrossRegionCostMs,
            MaxAttempts,
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
                            "admitAtTargetPercent" | "admit_at_target_percent" => Ok(GeneratedField::AdmitAtTargetPercent),
                            "retryBudgetPercent" | "retry_budget_percent" => Ok(GeneratedField::RetryBudgetPercent),
                            "ejectionCapPercent" | "ejection_cap_percent" => Ok(GeneratedField::EjectionCapPercent),
                            "ejectionFailures" | "ejection_failures" => Ok(GeneratedField::EjectionFailures),
                            "ejectionMs" | "ejection_ms" => Ok(GeneratedField::EjectionMs),
                            "crossZoneCostMs" | "cross_zone_cost_ms" => Ok(GeneratedField::CrossZoneCostMs),
                            "crossRegionCostMs" | "cross_region_cost_ms" => Ok(GeneratedField::CrossRegionCostMs),
                            "maxAttempts" | "max_attempts" => Ok(GeneratedField::MaxAttempts),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Policy;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.Policy")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Policy, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut admit_at_target_percent__ = None;
                let mut retry_budget_percent__ = None;
                let mut ejection_cap_percent__ = None;
                let mut ejection_failures__ = None;
                let mut ejection_ms__ = None;
                let mut cross_zone_cost_ms__ = None;
                let mut cross_region_cost_ms__ = None;
                let mut max_attempts__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::AdmitAtTargetPercent => {
                            if admit_at_target_percent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("admitAtTargetPercent"));
                            }
                            admit_at_target_percent__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::RetryBudgetPercent => {
                            if retry_budget_percent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("retryBudgetPercent"));
                            }
                            retry_budget_percent__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::EjectionCapPercent => {
                            if ejection_cap_percent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("ejectionCapPercent"));
                            }
                            ejection_cap_percent__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::EjectionFailures => {
                            if ejection_failures__.is_some() {
                                return Err(serde::de::Error::duplicate_field("ejectionFailures"));
                            }
                            ejection_failures__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::EjectionMs => {
                            if ejection_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("ejectionMs"));
                            }
                            ejection_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::CrossZoneCostMs => {
                            if cross_zone_cost_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("crossZoneCostMs"));
                            }
                            cross_zone_cost_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::CrossRegionCostMs => {
                            if cross_region_cost_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("crossRegionCostMs"));
                            }
                            cross_region_cost_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxAttempts => {
                            if max_attempts__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxAttempts"));
                            }
                            max_attempts__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Policy {
                    admit_at_target_percent: admit_at_target_percent__.unwrap_or_default(),
                    retry_budget_percent: retry_budget_percent__.unwrap_or_default(),
                    ejection_cap_percent: ejection_cap_percent__.unwrap_or_default(),
                    ejection_failures: ejection_failures__.unwrap_or_default(),
                    ejection_ms: ejection_ms__.unwrap_or_default(),
                    cross_zone_cost_ms: cross_zone_cost_ms__.unwrap_or_default(),
                    cross_region_cost_ms: cross_region_cost_ms__.unwrap_or_default(),
                    max_attempts: max_attempts__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.Policy", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Pool {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if self.role != 0 {
            len += 1;
        }
        if self.replicas != 0 {
            len += 1;
        }
        if self.blocks != 0 {
            len += 1;
        }
        if self.block_tokens != 0 {
            len += 1;
        }
        if self.max_streams != 0 {
            len += 1;
        }
        if self.prefill_tokens_per_s != 0 {
            len += 1;
        }
        if self.step_base_us != 0 {
            len += 1;
        }
        if self.step_per_stream_us != 0 {
            len += 1;
        }
        if self.kv_eviction_ms != 0 {
            len += 1;
        }
        if self.checks_fencing {
            len += 1;
        }
        if self.max_calls != 0 {
            len += 1;
        }
        if self.entries_per_agent != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.Pool", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if self.role != 0 {
            let v = pool::Role::try_from(self.role)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.role)))?;
            struct_ser.serialize_field("role", &v)?;
        }
        if self.replicas != 0 {
            struct_ser.serialize_field("replicas", &self.replicas)?;
        }
        if self.blocks != 0 {
            struct_ser.serialize_field("blocks", &self.blocks)?;
        }
        if self.block_tokens != 0 {
            struct_ser.serialize_field("block_tokens", &self.block_tokens)?;
        }
        if self.max_streams != 0 {
            struct_ser.serialize_field("max_streams", &self.max_streams)?;
        }
        if self.prefill_tokens_per_s != 0 {
            struct_ser.serialize_field("prefill_tokens_per_s", &self.prefill_tokens_per_s)?;
        }
        if self.step_base_us != 0 {
            struct_ser.serialize_field("step_base_us", &self.step_base_us)?;
        }
        if self.step_per_stream_us != 0 {
            struct_ser.serialize_field("step_per_stream_us", &self.step_per_stream_us)?;
        }
        if self.kv_eviction_ms != 0 {
            struct_ser.serialize_field("kv_eviction_ms", &self.kv_eviction_ms)?;
        }
        if self.checks_fencing {
            struct_ser.serialize_field("checks_fencing", &self.checks_fencing)?;
        }
        if self.max_calls != 0 {
            struct_ser.serialize_field("max_calls", &self.max_calls)?;
        }
        if self.entries_per_agent != 0 {
            struct_ser.serialize_field("entries_per_agent", &self.entries_per_agent)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Pool {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "role",
            "replicas",
            "blocks",
            "block_tokens",
            "blockTokens",
            "max_streams",
            "maxStreams",
            "prefill_tokens_per_s",
            "prefillTokensPerS",
            "step_base_us",
            "stepBaseUs",
            "step_per_stream_us",
            "stepPerStreamUs",
            "kv_eviction_ms",
            "kvEvictionMs",
            "checks_fencing",
            "checksFencing",
            "max_calls",
            "maxCalls",
            "entries_per_agent",
            "entriesPerAgent",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            Role,
            Replicas,
            Blocks,
            BlockTokens,
            MaxStreams,
            PrefillTokensPerS,
            StepBaseUs,
            StepPerStreamUs,
            KvEvictionMs,
            ChecksFencing,
            MaxCalls,
            EntriesPerAgent,
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
                            "name" => Ok(GeneratedField::Name),
                            "role" => Ok(GeneratedField::Role),
                            "replicas" => Ok(GeneratedField::Replicas),
                            "blocks" => Ok(GeneratedField::Blocks),
                            "blockTokens" | "block_tokens" => Ok(GeneratedField::BlockTokens),
                            "maxStreams" | "max_streams" => Ok(GeneratedField::MaxStreams),
                            "prefillTokensPerS" | "prefill_tokens_per_s" => Ok(GeneratedField::PrefillTokensPerS),
                            "stepBaseUs" | "step_base_us" => Ok(GeneratedField::StepBaseUs),
                            "stepPerStreamUs" | "step_per_stream_us" => Ok(GeneratedField::StepPerStreamUs),
                            "kvEvictionMs" | "kv_eviction_ms" => Ok(GeneratedField::KvEvictionMs),
                            "checksFencing" | "checks_fencing" => Ok(GeneratedField::ChecksFencing),
                            "maxCalls" | "max_calls" => Ok(GeneratedField::MaxCalls),
                            "entriesPerAgent" | "entries_per_agent" => Ok(GeneratedField::EntriesPerAgent),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Pool;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.Pool")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Pool, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut role__ = None;
                let mut replicas__ = None;
                let mut blocks__ = None;
                let mut block_tokens__ = None;
                let mut max_streams__ = None;
                let mut prefill_tokens_per_s__ = None;
                let mut step_base_us__ = None;
                let mut step_per_stream_us__ = None;
                let mut kv_eviction_ms__ = None;
                let mut checks_fencing__ = None;
                let mut max_calls__ = None;
                let mut entries_per_agent__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Role => {
                            if role__.is_some() {
                                return Err(serde::de::Error::duplicate_field("role"));
                            }
                            role__ = Some(map_.next_value::<pool::Role>()? as i32);
                        }
                        GeneratedField::Replicas => {
                            if replicas__.is_some() {
                                return Err(serde::de::Error::duplicate_field("replicas"));
                            }
                            replicas__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Blocks => {
                            if blocks__.is_some() {
                                return Err(serde::de::Error::duplicate_field("blocks"));
                            }
                            blocks__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::BlockTokens => {
                            if block_tokens__.is_some() {
                                return Err(serde::de::Error::duplicate_field("blockTokens"));
                            }
                            block_tokens__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::MaxStreams => {
                            if max_streams__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxStreams"));
                            }
                            max_streams__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::PrefillTokensPerS => {
                            if prefill_tokens_per_s__.is_some() {
                                return Err(serde::de::Error::duplicate_field("prefillTokensPerS"));
                            }
                            prefill_tokens_per_s__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::StepBaseUs => {
                            if step_base_us__.is_some() {
                                return Err(serde::de::Error::duplicate_field("stepBaseUs"));
                            }
                            step_base_us__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::StepPerStreamUs => {
                            if step_per_stream_us__.is_some() {
                                return Err(serde::de::Error::duplicate_field("stepPerStreamUs"));
                            }
                            step_per_stream_us__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::KvEvictionMs => {
                            if kv_eviction_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("kvEvictionMs"));
                            }
                            kv_eviction_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::ChecksFencing => {
                            if checks_fencing__.is_some() {
                                return Err(serde::de::Error::duplicate_field("checksFencing"));
                            }
                            checks_fencing__ = Some(map_.next_value()?);
                        }
                        GeneratedField::MaxCalls => {
                            if max_calls__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxCalls"));
                            }
                            max_calls__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::EntriesPerAgent => {
                            if entries_per_agent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("entriesPerAgent"));
                            }
                            entries_per_agent__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Pool {
                    name: name__.unwrap_or_default(),
                    role: role__.unwrap_or_default(),
                    replicas: replicas__.unwrap_or_default(),
                    blocks: blocks__.unwrap_or_default(),
                    block_tokens: block_tokens__.unwrap_or_default(),
                    max_streams: max_streams__.unwrap_or_default(),
                    prefill_tokens_per_s: prefill_tokens_per_s__.unwrap_or_default(),
                    step_base_us: step_base_us__.unwrap_or_default(),
                    step_per_stream_us: step_per_stream_us__.unwrap_or_default(),
                    kv_eviction_ms: kv_eviction_ms__.unwrap_or_default(),
                    checks_fencing: checks_fencing__.unwrap_or_default(),
                    max_calls: max_calls__.unwrap_or_default(),
                    entries_per_agent: entries_per_agent__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.Pool", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for pool::Role {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let variant = match self {
            Self::Unspecified => "UNSPECIFIED",
            Self::Prefill => "PREFILL",
            Self::Decode => "DECODE",
            Self::Service => "SERVICE",
        };
        serializer.serialize_str(variant)
    }
}
impl<'de> serde::Deserialize<'de> for pool::Role {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "UNSPECIFIED",
            "PREFILL",
            "DECODE",
            "SERVICE",
        ];

        struct GeneratedVisitor;

        impl serde::de::Visitor<'_> for GeneratedVisitor {
            type Value = pool::Role;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "expected one of: {:?}", &FIELDS)
            }

            fn visit_i64<E>(self, v: i64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Signed(v), &self)
                    })
            }

            fn visit_u64<E>(self, v: u64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Unsigned(v), &self)
                    })
            }

            fn visit_str<E>(self, value: &str) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                match value {
                    "UNSPECIFIED" => Ok(pool::Role::Unspecified),
                    "PREFILL" => Ok(pool::Role::Prefill),
                    "DECODE" => Ok(pool::Role::Decode),
                    "SERVICE" => Ok(pool::Role::Service),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for PriorityClass {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if self.rank != 0 {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.PriorityClass", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if self.rank != 0 {
            struct_ser.serialize_field("rank", &self.rank)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PriorityClass {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "rank",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            Rank,
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
                            "name" => Ok(GeneratedField::Name),
                            "rank" => Ok(GeneratedField::Rank),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PriorityClass;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.PriorityClass")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PriorityClass, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut rank__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Rank => {
                            if rank__.is_some() {
                                return Err(serde::de::Error::duplicate_field("rank"));
                            }
                            rank__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(PriorityClass {
                    name: name__.unwrap_or_default(),
                    rank: rank__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.PriorityClass", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Service {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if !self.name.is_empty() {
            len += 1;
        }
        if !self.pool.is_empty() {
            len += 1;
        }
        if self.timeout_ms != 0 {
            len += 1;
        }
        if !self.priority_class.is_empty() {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("bamboodoor.manifest.Service", len)?;
        if !self.name.is_empty() {
            struct_ser.serialize_field("name", &self.name)?;
        }
        if !self.pool.is_empty() {
            struct_ser.serialize_field("pool", &self.pool)?;
        }
        if self.timeout_ms != 0 {
            struct_ser.serialize_field("timeout_ms", &self.timeout_ms)?;
        }
        if !self.priority_class.is_empty() {
            struct_ser.serialize_field("priority_class", &self.priority_class)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Service {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "name",
            "pool",
            "timeout_ms",
            "timeoutMs",
            "priority_class",
            "priorityClass",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Name,
            Pool,
            TimeoutMs,
            PriorityClass,
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
                            "name" => Ok(GeneratedField::Name),
                            "pool" => Ok(GeneratedField::Pool),
                            "timeoutMs" | "timeout_ms" => Ok(GeneratedField::TimeoutMs),
                            "priorityClass" | "priority_class" => Ok(GeneratedField::PriorityClass),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Service;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct bamboodoor.manifest.Service")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Service, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut name__ = None;
                let mut pool__ = None;
                let mut timeout_ms__ = None;
                let mut priority_class__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Name => {
                            if name__.is_some() {
                                return Err(serde::de::Error::duplicate_field("name"));
                            }
                            name__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Pool => {
                            if pool__.is_some() {
                                return Err(serde::de::Error::duplicate_field("pool"));
                            }
                            pool__ = Some(map_.next_value()?);
                        }
                        GeneratedField::TimeoutMs => {
                            if timeout_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("timeoutMs"));
                            }
                            timeout_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::PriorityClass => {
                            if priority_class__.is_some() {
                                return Err(serde::de::Error::duplicate_field("priorityClass"));
                            }
                            priority_class__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(Service {
                    name: name__.unwrap_or_default(),
                    pool: pool__.unwrap_or_default(),
                    timeout_ms: timeout_ms__.unwrap_or_default(),
                    priority_class: priority_class__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("bamboodoor.manifest.Service", FIELDS, GeneratedVisitor)
    }
}
